#pragma once

#include "core/clock.h"
#include "core/error.h"
#include "core/metricsource.h"
#include "membership/membership.h"
#include "membership/watcherselection.h"
#include "peer/configdistributor.h"
#include "peer/configstore.h"
#include "peer/controlplanedependencies.h"
#include "peer/controlplanesettings.h"
#include "peer/headwatcher.h"
#include "peer/instancelistreader.h"
#include "peer/linkcounters.h"
#include "peer/linkhandler.h"
#include "peer/linktable.h"
#include "peer/peerdialer.h"
#include "peer/platformtaskhandler.h"
#include "peer/progresstable.h"
#include "peer/progresstree.h"
#include "peer/serverstatetable.h"
#include "peer/statuswriter.h"

#include <asio/any_io_executor.hpp>
#include <asio/awaitable.hpp>
#include <asio/cancellation_signal.hpp>
#include <asio/steady_timer.hpp>

#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Samphirepitch
{

class PeerServer;

/**
 * The control plane of an instance: links to peers, membership, configuration distribution and the tasks that call the platform.
 *
 * All calls must be made on the executor's thread. The object must live until run() has returned or the executor's context is
 * destroyed.
 */
class ControlPlane : public MetricSource, private LinkHandler, private PlatformTaskHandler
{
public:
    static constexpr std::chrono::milliseconds tickInterval { 250 }; /**< between two deadline checks */
    static constexpr std::chrono::milliseconds refreshInterval { 5000 }; /**< between repetitions of unchanged reports and progress */
    /** Minimum time between two changed statuses that the root of the aggregation tree sends to its peers. */
    static constexpr std::chrono::milliseconds minStatusInterval { 1000 };
    /**
     * Minimum time from a heartbeat to an extra one for a progress change. Changes do not wait for the next regular heartbeat, but
     * several share an extra one, because with 13 failure domains each of them reports each change.
     */
    static constexpr std::chrono::milliseconds progressInterval { 100 };
    static constexpr std::chrono::milliseconds startTimeout { 2000 }; /**< time to reach a seed before the first call to the platform */
    static constexpr std::chrono::milliseconds viewSyncTime { 500 }; /**< time from the first link to a view that contains the watchers */
    /** If no watcher reports platform contact for this time and a random delay, any instance starts to watch the platform. */
    static constexpr std::chrono::milliseconds platformContactTimeout { 15000 };
    static constexpr std::chrono::milliseconds platformContactJitter { 10000 }; /**< upper bound of the random delay */
    static constexpr std::chrono::milliseconds minInstanceListInterval { 2000 }; /**< between two reads of the instance list */
    /** Interval between two reads of the instance list per member. An entry has about 100 bytes, so reads take at most 5 KB/s. */
    static constexpr std::chrono::milliseconds instanceListIntervalPerMember { 20 };
    /** Time from the first message that is queued for an instance without a link until all queued messages to it are dropped. */
    static constexpr std::chrono::milliseconds deliveryTimeout { 3000 };
    static constexpr std::size_t maxPendingMessages = 256; /**< to one instance without a link */

    /**
     * Checks the settings and listens on the peer address.
     * @param executor runs all tasks and callbacks; single-threaded
     * @param settings identity, addresses and seeds of this instance
     * @param dependencies objects that the control plane uses
     * @return the control plane, InvalidArgument for an invalid setting, or InputOutput if listening failed
     */
    static Result<std::unique_ptr<ControlPlane>> create(
        const asio::any_io_executor &executor, ControlPlaneSettings settings, ControlPlaneDependencies dependencies);

    ~ControlPlane() override;

    /** Runs all tasks; returns after stop() when all tasks have ended. */
    asio::awaitable<void> run();

    /** Cancels all tasks and closes all links. */
    void stop();

    /** Marks this instance as leaving and tells its peers. */
    void beginLeaving();

    /** Reads the values of the GenerationSource again. Must be called when they change. */
    void progressChanged();

    /** Sends health changes of backend servers that this instance detected to all linked peers. */
    void broadcastServerStates(const ServerStates &states);

    /**
     * Sends flow exceptions to an instance; dials it and queues them if there is no link.
     * @param instance id of the receiver
     * @param exceptions flows to hand over
     * @return false if the instance is not a live member or its queue is full
     */
    bool sendFlowExceptions(const std::string &instance, FlowExceptionBatch exceptions);

    /** Returns the address that peers connect to. */
    Endpoint peerAddress() const;

    /** Returns the member view; never null. */
    std::shared_ptr<const MemberView> view() const;

    /** Returns when the view expires unless there is contact before. Callers must compare it with the clock before each decision. */
    TimePoint viewDeadline() const;

    /** Returns the held generation; its number is 0 if there is none. */
    const HeadPointer &held() const;

    /** Returns the highest generation that all live members of the reachable failure domains are prepared for. */
    std::uint64_t preparedEverywhere() const;

    /** Returns the newest known status of each failure domain. */
    std::vector<DomainStatus> statuses() const;

    const LinkCounters &linkCounters() const;

    /** Returns the number of established links to instances. */
    std::size_t linkCount() const;

    /** Returns the number of links that the link plan requires. */
    std::size_t plannedLinkCount() const;

    void writeMetrics(MetricWriter &writer) const override;

private:
    /** Values computed from a view. */
    struct Plan {
        std::shared_ptr<const MemberView> view;
        WatcherSelection selection;
        std::set<std::string> targets;
        std::size_t domainSize = 0; // members of the own failure domain that are not dead
        bool isWatcher = false;
    };

    /** Messages to an instance that is being dialed. */
    struct PendingDelivery {
        std::vector<Message> messages;
        TimePoint deadline;
    };

    ControlPlane(const asio::any_io_executor &executor, ControlPlaneSettings settings, ControlPlaneDependencies dependencies);

    // LinkHandler
    Hello localHello() const override;
    HybridTime sendTime() override;
    void observeTime(HybridTime at) override;
    bool linkUp(const std::shared_ptr<PeerLink> &link) override;
    bool received(PeerLink &link, Message &&message) override;
    void linkDown(PeerLink &link, const Error &reason) override;
    void dialFailed(Endpoint address, const Error &reason) override;

    // PlatformTaskHandler
    bool watchesPlatform(TimePoint now) const override;
    std::chrono::milliseconds instanceListInterval() const override;
    std::optional<DomainStatus> statusToWrite() const override;
    void platformAnswered(TimePoint now) override;
    void instanceListRead(const std::vector<ListedInstance> &list, TimePoint now) override;

    // Each overload handles one message type. The message may be moved from.
    void handle(PeerLink &link, Heartbeat &message);
    void handle(PeerLink &link, Announce &message);
    void handle(PeerLink &link, PartRequest &message);
    void handle(PeerLink &link, PartReply &message);
    void handle(PeerLink &link, MemberEvents &message);
    void handle(PeerLink &link, ServerStates &message);
    void handle(PeerLink &link, FlowExceptionBatch &message);
    void handle(PeerLink &link, FlowExceptionAck &message);
    void handle(PeerLink &link, StatusReply &message);
    void handle(PeerLink &link, GenerationReport &message);
    bool answerQuery(PeerLink &link, const Message &message);

    void spawn(asio::awaitable<void> task);
    asio::awaitable<void> tickLoop();
    void tick(TimePoint now);
    void scheduleFlush();
    void flush(TimePoint now);
    void sendProgressChanges(TimePoint now);
    void updatePlan();
    void updateProgress(TimePoint now);
    void reportProgress(const GenerationReport &report, TimePoint now);
    void publishProgress(const GenerationReport &report, TimePoint now);
    void notifyPrepared();
    void sendMemberEvents();
    void sendAllMembers(PeerLink &link);
    void broadcastHeartbeat(TimePoint now, bool full);
    Heartbeat heartbeat(TimePoint now, std::vector<DomainProgress> progress) const;
    void recordPlatformContact(TimePoint contactAt);
    void deliverPending(const std::string &peer);
    void dropExpiredDeliveries(TimePoint now);
    GenerationReport combinedReport(TimePoint now) const;
    bool isComplete(const GenerationReport &report) const;
    DomainStatus ownStatus() const;
    std::uint64_t wallMs() const;
    bool isRoot() const;

    asio::any_io_executor m_executor;
    ControlPlaneSettings m_settings;
    ControlPlaneDependencies m_dependencies;
    LinkCounters m_counters;
    Membership m_membership;
    LinkTable m_links;
    ConfigStore m_store;
    ConfigDistributor m_distributor;
    ProgressTree m_progressTree;
    ProgressTable m_progressTable;
    ServerStateTable m_serverStateTable;
    std::map<std::string, DomainStatus> m_statuses;
    std::map<std::string, PendingDelivery> m_pendingDeliveries;
    Plan m_plan;
    HeadWatcher m_headWatcher;
    InstanceListReader m_instanceListReader;
    StatusWriter m_statusWriter;
    std::unique_ptr<PeerServer> m_server;
    std::unique_ptr<PeerDialer> m_dialer;

    asio::steady_timer m_tasksEnded; // cancelled when a task ends, which wakes run()
    asio::steady_timer m_progressTimer; // sends progress changes that came within progressInterval of the last heartbeat
    std::list<asio::cancellation_signal> m_cancellationSignals;
    std::size_t m_taskCount = 0;
    bool m_stopped = false;
    bool m_flushScheduled = false;
    bool m_progressScheduled = false;
    // Posted callbacks hold a weak pointer to this value, which expires when the object is destroyed.
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);

    TimePoint m_startDeadline; // no call to the platform before this time
    TimePoint m_platformContactAt; // latest platform contact of any instance that this instance knows of
    std::chrono::milliseconds m_platformContactDelay { 0 };
    TimePoint m_lastHeartbeatAt {};
    TimePoint m_lastStatusAt {};
    TimePoint m_nextRefresh {}; // when a heartbeat contains the progress of all failure domains again
    TimePoint m_nextReport {}; // when an unchanged report is sent to the parent again
    GenerationReport m_lastReport;
    std::string m_lastParent;
    std::uint64_t m_preparedEverywhere = 0;
    std::uint64_t m_undeliveredCount = 0;
};

} // namespace Samphirepitch
