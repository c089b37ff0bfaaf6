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
 * The control plane of an instance: links, membership, distribution of the configuration and the platform tasks.
 *
 * All calls are made on the executor's thread. The object must live until run() has ended or the executor's context is
 * destroyed.
 */
class ControlPlane : public MetricSource, private LinkHandler, private PlatformTaskHandler
{
public:
    static constexpr std::chrono::milliseconds tickInterval { 250 };
    static constexpr std::chrono::milliseconds refreshInterval { 5000 }; /**< between full reports without a change */
    static constexpr std::chrono::milliseconds minStatusInterval { 1000 }; /**< between two statuses that a root sends to its peers */
    /** News of progress do not wait for the next heartbeat, but several changes share one: 13 failure domains report each change. */
    static constexpr std::chrono::milliseconds progressInterval { 100 };
    static constexpr std::chrono::milliseconds startTimeout { 2000 }; /**< seeds are tried this long before the platform is asked */
    static constexpr std::chrono::milliseconds viewSyncTime { 500 }; /**< from the first link to a view that names the watchers */
    /** Without a sign of platform contact from a watcher, any instance starts to watch after this and a random delay. */
    static constexpr std::chrono::milliseconds platformContactTimeout { 15000 };
    static constexpr std::chrono::milliseconds platformContactJitter { 10000 };
    static constexpr std::chrono::milliseconds minInstanceListInterval { 2000 };
    /** An entry takes about 100 bytes, so that reading the list takes at most 5 KB/s. */
    static constexpr std::chrono::milliseconds instanceListIntervalPerMember { 20 };
    static constexpr std::chrono::milliseconds deliveryTimeout { 3000 }; /**< of a message to an instance that has no link */
    static constexpr std::size_t maxPendingMessages = 256; /**< to instances that have no link */

    /**
     * Checks the settings and listens at the peer address.
     * @return the control plane, InvalidArgument or InputOutput
     */
    static Result<std::unique_ptr<ControlPlane>> create(
        const asio::any_io_executor &executor, ControlPlaneSettings settings, ControlPlaneDependencies dependencies);

    ~ControlPlane() override;

    /** Runs all tasks until stop(). */
    asio::awaitable<void> run();

    /** Ends all tasks; run() returns. */
    void stop();

    /** Spreads that this instance finishes its work. */
    void beginLeaving();

    /** Reads GenerationSource again; to be called when its values changed. */
    void progressChanged();

    /** Spreads changes of the health of backend servers that this instance saw. */
    void broadcastServerStates(const ServerStates &states);

    /** Sends flow exceptions to an instance, over a new link if there is none. @return false if it is not a member */
    bool sendFlowExceptions(const std::string &instance, FlowExceptionBatch exceptions);

    /** The address that peers connect to. */
    Endpoint peerAddress() const;

    /** The member view; never null. */
    std::shared_ptr<const MemberView> view() const;

    /** When the view lapses unless contact is made before; to be compared with the clock before each decision. */
    TimePoint viewDeadline() const;

    /** The held generation; 0 if none. */
    const HeadPointer &held() const;

    /** Lowest generation that all live members of the reachable failure domains are prepared for. */
    std::uint64_t preparedEverywhere() const;

    /** What this instance knows of each failure domain. */
    std::vector<DomainStatus> statuses() const;

    /** Counters of the links. */
    const LinkCounters &linkCounters() const;

    /** Number of ready links to instances. */
    std::size_t linkCount() const;

    /** Number of links that the view asks for. */
    std::size_t plannedLinkCount() const;

    void writeMetrics(MetricWriter &writer) const override;

private:
    /** What follows from a view. */
    struct Plan {
        std::shared_ptr<const MemberView> view;
        WatcherSelection selection;
        std::set<std::string> targets;
        std::size_t domainSize = 0; // members of the own failure domain that are not dead
        bool isWatcher = false;
    };

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

    // Each handles one message type; the second argument may be moved from.
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

    asio::steady_timer m_tasksEnded; // cancelled when a task ends
    asio::steady_timer m_progressTimer; // sends news of progress that came within progressInterval of the last heartbeat
    std::list<asio::cancellation_signal> m_cancellationSignals;
    std::size_t m_taskCount = 0;
    bool m_stopped = false;
    bool m_flushScheduled = false;
    bool m_progressScheduled = false;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true); // lets posted work see that the object is gone

    TimePoint m_startDeadline;
    TimePoint m_platformContactAt;
    std::chrono::milliseconds m_platformContactDelay { 0 };
    TimePoint m_lastHeartbeatAt {};
    TimePoint m_lastStatusAt {};
    TimePoint m_nextRefresh {};
    TimePoint m_nextReport {};
    GenerationReport m_lastReport;
    std::string m_lastParent;
    std::uint64_t m_preparedEverywhere = 0;
    std::uint64_t m_undeliveredCount = 0;
};

} // namespace Samphirepitch
