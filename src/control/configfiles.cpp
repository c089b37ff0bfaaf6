#include "control/configfiles.h"

#include "model/configchecker.h"
#include "model/configreader.h"

#include <algorithm>

namespace Samphirepitch
{

ConfigFiles ConfigFiles::read(const std::vector<std::string> &paths)
{
    ConfigReader reader;
    for (const std::string &path : paths) {
        reader.readFile(path);
    }
    ConfigFiles files;
    files.set = reader.set();
    files.findings = reader.findings();
    for (Finding &finding : reader.addLocations(ConfigChecker::check(files.set))) {
        // A field that could not be read has its default value, so a finding of the checker about it would be misleading.
        const bool isReported = std::any_of(files.findings.begin(), files.findings.end(),
            [&finding](const Finding &other) { return other.object == finding.object && other.field == finding.field; });
        if (!isReported) {
            files.findings.push_back(std::move(finding));
        }
    }
    return files;
}

} // namespace Samphirepitch
