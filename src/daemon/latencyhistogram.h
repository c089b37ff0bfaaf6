#pragma once

#include <chrono>
#include <cstdint>
#include <memory>

namespace Samphirepitch
{

/** Counts durations from 1 microsecond to 1,000 seconds in bins that are 2.6% wide. */
class LatencyHistogram
{
public:
    LatencyHistogram();
    ~LatencyHistogram();
    LatencyHistogram(LatencyHistogram &&) noexcept;
    LatencyHistogram &operator=(LatencyHistogram &&) noexcept;

    /** Counts one duration; one outside the range counts in the nearest bin. */
    void record(std::chrono::nanoseconds duration);

    /** Adds the counts of @p other. */
    void merge(const LatencyHistogram &other);

    std::uint64_t count() const;

    /** Returns the sum of all recorded durations. */
    std::chrono::nanoseconds sum() const;

    /**
     * Returns the upper edge of the bin that holds the quantile.
     * @param quantile 0..1, such as 0.99
     * @return 0 if nothing was recorded
     */
    std::chrono::microseconds quantile(double quantile) const;

    /** Returns how many durations are at most @p limit, to the precision of a bin. */
    std::uint64_t countUpTo(std::chrono::nanoseconds limit) const;

private:
    struct Private;

    std::unique_ptr<Private> m_data;
    std::uint64_t m_count = 0;
    std::chrono::nanoseconds m_sum { 0 };
};

} // namespace Samphirepitch
