#pragma once

#include "core/clock.h"
#include "core/eventsink.h"
#include "core/metricsource.h"
#include "evacuation/evacuationset.h"
#include "stream/storeposition.h"
#include "stream/viewage.h"

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace Samphirepitch
{

/** A change of one evacuation in the store. */
struct EvacuationUpdate {
    std::string domain;
    bool deleted = false;
    StorePosition position; /**< of the change */

    friend bool operator==(const EvacuationUpdate &, const EvacuationUpdate &) = default;
};

/**
 * The evacuated failure domains, as the store or another instance told them last. They stay in force as long as nothing newer is known.
 * Whatever is from an earlier position than the known one has no effect.
 *
 * A store that returns from an older copy may lack the last requests. Evacuations of the earlier era that are missing in the new one
 * therefore stay in force for @c lostRequestRetention, unless they are written or deleted in the new era.
 */
class EvacuationView : public MetricSource
{
public:
    /** An operator repeats a request that the store lost with its last changes within this time. */
    static constexpr std::chrono::seconds lostRequestRetention { 30 };
    /** Bounds the memory for entries of any writer: 1 MB for names of the longest kind. Deployments have 3 to 5 failure domains. */
    static constexpr std::size_t maxEvacuations = 4096;

    /** The objects must outlive the view. */
    EvacuationView(const Clock &clock, EventSink &events);

    /** Turns the view on. Without it nothing is applied, and nothing is ever evacuated. */
    void enable();

    bool isEnabled() const;

    /** Returns whether new flows may be placed: the evacuations are known, or the view is off. */
    bool isReady() const;

    /**
     * Replaces the evacuations by a complete list of the store.
     * @param confirmedAt when the list was complete
     * @return whether the evacuated domains have changed
     */
    bool replaceAll(const std::vector<Evacuation> &listed, StorePosition position, TimePoint confirmedAt);

    /**
     * Records that the store doesn't know this kind of object and therefore has no evacuations.
     * @param era era of the store
     * @return whether the evacuated domains have changed
     */
    bool clear(std::uint64_t era, TimePoint confirmedAt);

    /**
     * Applies changes from a position that this view knows. Changes of another era have no effect.
     * @param updates oldest first
     * @param position the position up to which they are complete
     * @param confirmedAt when the evacuations were complete with these changes
     * @return whether the evacuated domains have changed
     */
    bool apply(const std::vector<EvacuationUpdate> &updates, StorePosition position, TimePoint confirmedAt);

    /**
     * Applies the evacuations of another instance: those of a later position replace the known ones, those of the same position confirm
     * them.
     * @param position the position up to which the other instance knows all evacuations; if unset, nothing happens
     * @return whether this view is as recent as that of the other instance; false if the set is later and not complete
     */
    bool merge(const EvacuationSet &set, StorePosition position, TimePoint confirmedAt);

    /** Ends evacuations that the store lost too long ago. */
    void expire();

    /** Returns whether no new flow may be sent to the servers of a failure domain. */
    bool isEvacuated(const std::string &domain, TimePoint now) const;

    /** Returns whether no domain is evacuated. */
    bool isEmpty() const;

    /** Returns all evacuations, for other instances. */
    EvacuationSet all() const;

    /** Returns the position up to which all changes are known; unset if none are. */
    StorePosition position() const;

    /** Returns how often the set of evacuated domains has changed. */
    std::uint64_t changeCount() const;

    const ViewAge &age() const;

    void writeMetrics(MetricWriter &writer) const override;

private:
    bool replace(const EvacuationSet &set, StorePosition position, std::string_view begun, std::string_view ended);
    void adoptRetained(const EvacuationSet &set);
    bool insert(Evacuation evacuation, std::string_view reason);
    bool end(const std::string &domain, std::string_view reason);
    void recordEvent(std::string_view name, const std::string &domain, StorePosition position, std::string_view reason) const;

    const Clock &m_clock;
    EventSink &m_events;
    std::map<std::string, Evacuation> m_evacuations; // by domain
    StorePosition m_position;
    StorePosition m_before; // the last known position of an earlier era
    ViewAge m_age;
    std::uint64_t m_changeCount = 0;
    bool m_enabled = false;
};

} // namespace Samphirepitch
