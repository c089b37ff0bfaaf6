#include "daemon/latencyhistogram.h"

#include <boost/histogram.hpp>

#include <algorithm>
#include <cmath>

namespace Samphirepitch
{

namespace
{

namespace bh = boost::histogram;

constexpr unsigned binCount = 800;
constexpr double minSeconds = 1e-6;
constexpr double maxSeconds = 1e3;

using Axis = bh::axis::regular<double, bh::axis::transform::log>;

auto makeHistogram()
{
    return bh::make_histogram_with(std::vector<std::uint64_t>(), Axis(binCount, minSeconds, maxSeconds));
}

double toSeconds(std::chrono::nanoseconds duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

struct LatencyHistogram::Private {
    decltype(makeHistogram()) bins = makeHistogram();
};

LatencyHistogram::LatencyHistogram()
    : m_data(std::make_unique<Private>())
{
}

LatencyHistogram::~LatencyHistogram() = default;
LatencyHistogram::LatencyHistogram(LatencyHistogram &&) noexcept = default;
LatencyHistogram &LatencyHistogram::operator=(LatencyHistogram &&) noexcept = default;

void LatencyHistogram::record(std::chrono::nanoseconds duration)
{
    // The last bin does not include its upper bound, so longer durations are clamped to a value below it.
    m_data->bins(std::clamp(toSeconds(duration), minSeconds, maxSeconds * 0.999));
    ++m_count;
    m_sum += duration;
}

void LatencyHistogram::merge(const LatencyHistogram &other)
{
    m_data->bins += other.m_data->bins;
    m_count += other.m_count;
    m_sum += other.m_sum;
}

std::uint64_t LatencyHistogram::count() const
{
    return m_count;
}

std::chrono::nanoseconds LatencyHistogram::sum() const
{
    return m_sum;
}

std::chrono::microseconds LatencyHistogram::quantile(double quantile) const
{
    if (m_count == 0) {
        return std::chrono::microseconds(0);
    }
    const auto rank = std::max<std::uint64_t>(1, static_cast<std::uint64_t>(std::ceil(quantile * static_cast<double>(m_count))));
    std::uint64_t cumulative = 0;
    int bin = 0;
    while (bin < static_cast<int>(binCount) && (cumulative += m_data->bins.at(bin)) < rank) {
        ++bin;
    }
    const double upperBound = m_data->bins.axis().bin(std::min(bin, static_cast<int>(binCount) - 1)).upper();
    return std::chrono::microseconds(std::llround(upperBound * 1e6));
}

std::uint64_t LatencyHistogram::countUpTo(std::chrono::nanoseconds limit) const
{
    std::uint64_t count = 0;
    const int end = m_data->bins.axis().index(toSeconds(limit));
    for (int bin = 0; bin < std::min(end, static_cast<int>(binCount)); ++bin) {
        count += m_data->bins.at(bin);
    }
    return count;
}

} // namespace Samphirepitch
