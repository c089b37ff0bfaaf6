#pragma once

#include "load/controlinstance.h"
#include "load/memoryplatform.h"
#include "model/configtree.h"

#include <asio/io_context.hpp>

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <vector>

/** Control planes of several instances in one process, linked over loopback, with a platform in memory. */
class ControlPlaneGroup
{
public:
    ~ControlPlaneGroup()
    {
        for (const auto &instance : instances) {
            instance->plane().stop();
        }
        runUntil(
            [this] { return std::all_of(instances.begin(), instances.end(), [](const auto &instance) { return instance->hasEnded(); }); });
    }

    /**
     * Starts an instance and adds it to the instance list of the platform. The first instance is the seed of all others.
     * @param id instance id
     * @param failureDomain failure domain of the instance
     * @param context runs the instance; null for the context of the group
     * @return the instance
     */
    Samphirepitch::ControlInstance &add(const std::string &id, const std::string &failureDomain, asio::io_context *context = nullptr)
    {
        using namespace Samphirepitch;
        ControlPlaneSettings settings { "dewnet", id, ++m_incarnation, failureDomain, Endpoint(0x7f000001, 0), Endpoint(0x7f000001, 9),
            seeds };
        auto started = ControlInstance::start((context ? *context : io).get_executor(), clock, platform, settings, m_incarnation);
        instances.push_back(std::move(started.value()));
        if (seeds.empty()) {
            seeds.push_back(instances.back()->plane().peerAddress());
        }
        updateInstanceList();
        return *instances.back();
    }

    /** Sets the instance list of the platform to all instances of the group. */
    void updateInstanceList()
    {
        std::vector<Samphirepitch::ListedInstance> listed;
        for (const auto &instance : instances) {
            listed.push_back(instance->listed());
        }
        platform.setInstances(listed);
    }

    /** Publishes a configuration whose content differs for each generation. */
    void publish(std::uint64_t generation)
    {
        using namespace Samphirepitch;
        ConfigSet::Fields objects;
        objects.failureDomains.emplace_back(FailureDomain::Fields { "lokoja", "region" + std::to_string(generation) });
        for (int number = 0; number < 200; ++number) {
            objects.failureDomains.emplace_back(FailureDomain::Fields { "domain" + std::to_string(number), "kogi" });
        }
        const ConfigTree tree = ConfigTree::of(ConfigSet(objects));
        for (const auto &[name, content] : tree.parts()) {
            platform.store("parts/" + name.toHex(), content);
        }
        const std::string record
            = HeadRecord({ generation, tree.indexes(), {}, "change" + std::to_string(generation), "operator", {} }).encode();
        const ContentName name = ContentName::of(record);
        platform.store("parts/" + name.toHex(), record);
        platform.store("head", HeadPointer { generation, name }.encode());
    }

    /** Runs all instances until @p done. @return false after 40 s, so that a failing test ends */
    template<typename Condition>
    bool runUntil(Condition done)
    {
        const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(40);
        while (!done() && std::chrono::steady_clock::now() < deadline) {
            io.restart(); // an io_context without work stops, for example after the only instance has ended
            io.run_one_for(std::chrono::milliseconds(20));
        }
        return done();
    }

    /** Returns whether all instances hold @p generation and have it in force. */
    bool allHaveInForce(std::uint64_t generation) const
    {
        return std::all_of(instances.begin(), instances.end(), [generation](const auto &instance) {
            return instance->plane().held().generation == generation && instance->activeGeneration() == generation;
        });
    }

    /** Returns whether the member view of each instance contains all instances as alive. */
    bool allSeeEachOther() const
    {
        return std::all_of(instances.begin(), instances.end(), [this](const auto &instance) {
            const auto &members = instance->plane().view()->members();
            return members.size() == instances.size() && std::all_of(members.begin(), members.end(), [](const auto &member) {
                return member.state() == Samphirepitch::MemberState::Alive;
            });
        });
    }

    asio::io_context io;
    Samphirepitch::SteadyClock clock;
    Samphirepitch::MemoryPlatform platform { io.get_executor(), clock };
    std::vector<Samphirepitch::Endpoint> seeds;
    std::vector<std::unique_ptr<Samphirepitch::ControlInstance>> instances;

private:
    std::uint64_t m_incarnation = 0;
};
