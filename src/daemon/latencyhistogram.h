#pragma once

#include <chrono>
#include <cstdint>
#include <memory>

namespace Samphirepitch
{

/** Histogram of durations from 1 microsecond to 1,000 seconds with logarithmic bins that are 2.6% wide. */
class LatencyHistogram
{
public:
    LatencyHistogram();
    ~LatencyHistogram();
    LatencyHistogram(LatencyHistogram &&) noexcept;
    LatencyHistogram &operator=(LatencyHistogram &&) noexcept;

    /** Counts a duration; a duration outside the range is counted in the nearest bin. */
    void record(std::chrono::nanoseconds duration);

    /** Adds the counts of @p other. */
    void merge(const LatencyHistogram &other);

    std::uint64_t count() const;

    /** Returns the sum of all recorded durations. */
    std::chrono::nanoseconds sum() const;

    /**
     * Returns the upper bound of the bin that contains a quantile.
     * @param quantile quantile from 0 to 1, such as 0.99
     * @return upper bound of the bin; 0 if nothing was recorded
     */
    std::chrono::microseconds quantile(double quantile) const;

    /** Returns the number of durations up to @p limit, with the precision of one bin. */
    std::uint64_t countUpTo(std::chrono::nanoseconds limit) const;

private:
    struct Private;

    std::unique_ptr<Private> m_data;
    std::uint64_t m_count = 0;
    std::chrono::nanoseconds m_sum { 0 };
};

} // namespace Samphirepitch
