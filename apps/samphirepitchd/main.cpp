#include "daemon/settings.h"
#include "daemon/settingstable.h"

#include <gflags/gflags.h>

#include <iostream>

DEFINE_string(settings, "", "settings file (TOML)");
DEFINE_bool(check, false, "check the settings and exit");
DEFINE_bool(print_settings_reference, false, "print docs/configuration.md and exit");

using namespace Samphirepitch;

namespace
{

constexpr int usageError = 2;

int printFindings(const KeyFindings &findings)
{
    for (const KeyFinding &finding : findings) {
        std::cerr << finding.describe() << '\n';
    }
    return usageError;
}

} // namespace

int main(int argc, char **argv)
{
    gflags::SetVersionString(SAMPHIREPITCH_VERSION);
    gflags::SetUsageMessage("samphirepitchd --settings FILE [--check]");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (FLAGS_print_settings_reference) {
        std::cout << settingsReference();
        return 0;
    }
    const auto settings = Settings::load(FLAGS_settings);
    if (!settings) {
        return printFindings(settings.error());
    }
    if (FLAGS_check) {
        std::cout << FLAGS_settings << ": no findings\n";
        return 0;
    }
    return 0;
}
