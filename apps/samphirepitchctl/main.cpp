#include "commandline.h"
#include "control/commandtable.h"
#include "control/jsonrenderer.h"
#include "control/peerinstanceapi.h"
#include "control/tablerenderer.h"
#include "core/random.h"
#include "objectstore/httpplatform.h"
#include "objectstore/timer.h"

#include <asio/co_spawn.hpp>
#include <asio/io_context.hpp>
#include <gflags/gflags.h>

#include <cstdlib>
#include <iostream>
#include <random>
#include <utility>

DEFINE_string(platform, "127.0.0.1:8500", "address of the platform's object API");
DEFINE_string(output, "table", "output format: table or json");
DEFINE_bool(wait, false, "apply, drain, undrain: wait until the change is in force everywhere");
DEFINE_uint64(timeout_ms, 15000, "deadline of the command in milliseconds, 1..3600000");
DEFINE_int64(expect_generation, -1, "apply: generation that the change is based on; -1 for the current one");
DEFINE_string(change_id, "", "apply, drain, undrain: id of the change; to repeat it after an unknown outcome, give the same id");
DEFINE_string(change, "", "history: show only the change with this id");
DEFINE_uint64(count, 20, "history, events: maximum number of the newest entries to list");
DEFINE_string(deployment, "", "events, drain-instance, status IP:PORT: name of the deployment of the instances");
DEFINE_string(author, "", "apply, drain, undrain: author recorded with the change; the value of $USER by default");

using namespace Samphirepitch;

namespace
{

constexpr std::uint64_t maxTimeout = 3600000; // milliseconds

std::string author()
{
    const char *user = std::getenv("USER");
    return !FLAGS_author.empty() || user == nullptr ? FLAGS_author : user;
}

CommandOptions optionsOf(const Command &command)
{
    CommandOptions options;
    options.wait = FLAGS_wait;
    options.timeout = std::chrono::milliseconds(FLAGS_timeout_ms);
    if (FLAGS_expect_generation >= 0) {
        options.expectedGeneration = static_cast<std::uint64_t>(FLAGS_expect_generation);
    }
    options.changeId = command.name() == "history" ? FLAGS_change : FLAGS_change_id;
    options.author = author();
    options.count = FLAGS_count;
    options.deployment = FLAGS_deployment;
    return options;
}

asio::awaitable<void> runCommand(Command &command, CommandContext &context, std::vector<std::string> operands, CommandExit &code)
{
    code = co_await command.run(context, std::move(operands));
}

int reportUsage(const Error &error)
{
    std::cerr << "error: " << error.describe() << '\n';
    return static_cast<int>(CommandExit::Usage);
}

int run(Command &command, std::vector<std::string> operands, Renderer &renderer)
{
    const auto address = Endpoint::parse(FLAGS_platform);
    if (!address) {
        return reportUsage(address.error());
    }
    asio::io_context context(1);
    const SteadyClock clock;
    SteadyTimer timer(clock);
    SeededRandom random(std::random_device {}() | static_cast<std::uint64_t>(std::random_device {}()) << 32);
    const auto platform = HttpPlatform::create(context.get_executor(), clock, *address);
    if (!platform) {
        return reportUsage(platform.error());
    }
    PeerInstanceApi instances(FLAGS_deployment, clock);
    const CommandOptions options = optionsOf(command);
    CommandContext commandContext { platform->get(), instances, clock, timer, random, renderer, options, clock.now() + options.timeout };
    CommandExit code = CommandExit::Refused;
    asio::co_spawn(context, runCommand(command, commandContext, std::move(operands), code), [](const std::exception_ptr &thrown) {
        if (thrown) {
            std::rethrow_exception(thrown);
        }
    });
    context.run();
    return static_cast<int>(code);
}

} // namespace

int main(int argc, char **argv)
{
    const CommandTable commands;
    auto operands = CommandLine::parse(argc, argv);
    if (!operands) {
        return reportUsage(operands.error());
    }
    if (CommandLine::isSet("version")) {
        std::cout << "samphirepitchctl " << SAMPHIREPITCH_VERSION << '\n';
        return static_cast<int>(CommandExit::Ok);
    }
    if (CommandLine::isSet("help")) {
        std::cout << commands.usage();
        return static_cast<int>(CommandExit::Ok);
    }
    Command *command = operands->empty() ? nullptr : commands.find(operands->front());
    if (command == nullptr) {
        std::cerr << commands.usage();
        return static_cast<int>(CommandExit::Usage);
    }
    if ((FLAGS_output != "table" && FLAGS_output != "json") || FLAGS_timeout_ms == 0 || FLAGS_timeout_ms > maxTimeout) {
        return reportUsage(Error(ErrorKind::InvalidArgument, "flags", "--output must be table or json, --timeout_ms must be 1..3600000"));
    }
    operands->erase(operands->begin());
    TableRenderer table(std::cout, std::cerr);
    JsonRenderer json(std::cout);
    Renderer &renderer = FLAGS_output == "json" ? static_cast<Renderer &>(json) : table;
    return run(*command, std::move(*operands), renderer);
}
