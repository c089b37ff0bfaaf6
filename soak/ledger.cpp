#include "soak/ledger.h"

namespace Samphirepitch::Soak
{

void Ledger::violation(const std::string &what)
{
    m_violations.push_back(what);
}

void Ledger::ran(std::uint64_t request, bool mayRepeat)
{
    if (++m_runs[request] > 1 && !mayRepeat) {
        violation("request " + std::to_string(request) + " ran more than once");
    }
}

void Ledger::served(std::uint64_t request)
{
    ++m_served;
    if (!m_runs.contains(request)) {
        violation("request " + std::to_string(request) + " was answered and never ran");
    }
}

void Ledger::failed(std::uint64_t)
{
    ++m_failed;
}

const std::vector<std::string> &Ledger::violations() const
{
    return m_violations;
}

std::uint64_t Ledger::servedCount() const
{
    return m_served;
}

std::uint64_t Ledger::failedCount() const
{
    return m_failed;
}

} // namespace Samphirepitch::Soak
