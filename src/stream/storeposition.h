#pragma once

#include <compare>
#include <cstdint>

namespace Samphirepitch
{

/**
 * A point in the history of the store. A store that returns from an older copy starts a new era, in which it gives out revisions again,
 * so a revision alone orders nothing across eras.
 */
class StorePosition
{
public:
    /** Creates the unset position, which precedes all others. */
    constexpr StorePosition() = default;

    /**
     * @param era how often the store has returned from an older copy; 0 if the store does not count that
     * @param revision revision of the store within the era
     */
    constexpr StorePosition(std::uint64_t era, std::uint64_t revision)
        : m_era(era)
        , m_revision(revision)
    {
    }

    constexpr std::uint64_t era() const
    {
        return m_era;
    }

    constexpr std::uint64_t revision() const
    {
        return m_revision;
    }

    /** Returns whether nothing is known of the store. */
    constexpr bool isUnset() const
    {
        return *this == StorePosition();
    }

    /** Orders by era, then by revision. */
    friend constexpr auto operator<=>(const StorePosition &, const StorePosition &) = default; // NOLINT(modernize-use-nullptr)

private:
    std::uint64_t m_era = 0;
    std::uint64_t m_revision = 0;
};

} // namespace Samphirepitch
