#include "daemon/datagraminstance.h"
#include "daemon/settings.h"
#include "daemon/settingstable.h"
#include "daemon/signalhandler.h"
#include "daemon/streaminstance.h"
#include "platform/platformpacketcodec.h"
#include "platform/storediscovery.h"

#include <asio/co_spawn.hpp>
#include <asio/io_context.hpp>
#include <gflags/gflags.h>

#include <cstdlib>
#include <exception>
#include <iostream>

DEFINE_string(settings, "", "settings file (TOML)");
DEFINE_bool(check, false, "check the settings and exit");
DEFINE_bool(print_settings_reference, false, "print docs/configuration.md and exit");

using namespace Samphirepitch;

namespace
{

int report(const KeyFindings &findings)
{
    for (const KeyFinding &finding : findings) {
        std::cerr << finding.describe() << '\n';
    }
    return static_cast<int>(DaemonExit::WrongUsage);
}

void reload(InstanceBase &instance)
{
    if (const auto next = Settings::load(FLAGS_settings)) {
        instance.reload(*next);
    } else {
        instance.reportReloadFailure(next.error());
    }
}

Result<std::unique_ptr<InstanceBase>> createInstance(const asio::any_io_executor &executor, const Clock &clock, const Settings &settings)
{
    if (settings.values().dataPacketFormat == "stream") {
        StreamAdapters adapters { std::make_unique<PlatformPacketCodec>(),
            std::make_unique<StoreDiscovery>(executor, clock, settings.values().platformAddress) };
        return StreamInstance::create(executor, clock, settings, std::move(adapters));
    }
    return DatagramInstance::create(executor, clock, settings);
}

/** Runs an instance and exits the process. Returns an exit code only if the instance could not be created. */
int run(const Settings &settings)
{
    asio::io_context context(1);
    const SteadyClock clock;
    const auto created = createInstance(context.get_executor(), clock, settings);
    if (!created) {
        std::cerr << created.error().describe() << '\n';
        return static_cast<int>(DaemonExit::Failed);
    }
    InstanceBase &instance = **created;
    DaemonExit code = DaemonExit::Interrupted;
    asio::co_spawn(context, instance.run(), [&](const std::exception_ptr &exception, DaemonExit result) {
        code = exception ? DaemonExit::Failed : result;
        context.stop();
    });
    SignalHandler signals(
        context.get_executor(), [&] { instance.requestStop("signal"); }, [&] { context.stop(); }, [&] { reload(instance); });
    context.run();
    // Exits without destructors: unfinished tasks, owned by the context, refer to the instance, and sockets of the instance refer to the
    // context, so neither can be destroyed first.
    std::_Exit(static_cast<int>(code));
}

} // namespace

int main(int argc, char **argv)
{
    SignalHandler::holdReloads();
    gflags::SetVersionString(SAMPHIREPITCH_VERSION);
    gflags::SetUsageMessage("samphirepitchd --settings FILE [--check] | --print_settings_reference");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (FLAGS_print_settings_reference) {
        std::cout << settingsReference();
        return static_cast<int>(DaemonExit::Done);
    }
    const auto settings = Settings::load(FLAGS_settings);
    if (!settings) {
        return report(settings.error());
    }
    if (FLAGS_check) {
        std::cout << FLAGS_settings << ": no findings\n";
        return static_cast<int>(DaemonExit::Done);
    }
    return run(*settings);
}
