#pragma once

#include "core/random.h"

#include <algorithm>
#include <array>
#include <cstdlib>
#include <string>
#include <string_view>
#include <vector>

namespace Samphirepitch::Tests
{

/** The number of cases and the seed of a fuzz test. `make fuzz CASES=N SEED=S` sets others than those of CI. */
struct FuzzPlan {
    std::uint64_t seed = numberFrom("SAMPHIREPITCH_FUZZ_SEED", 20261205);
    std::uint64_t cases = numberFrom("SAMPHIREPITCH_FUZZ_CASES", 5000); // of each decoder

private:
    static std::uint64_t numberFrom(const char *variable, std::uint64_t otherwise)
    {
        const char *const text = std::getenv(variable);
        return text == nullptr ? otherwise : std::strtoull(text, nullptr, 10);
    }
};

/** Changes valid input at random places. */
class Mutator
{
public:
    explicit Mutator(RandomSource &random)
        : m_random(random)
    {
    }

    /** Applies up to four changes: overwrites, removes, repeats or inserts bytes, or inserts one of @p tokens. */
    std::string mutate(std::string bytes, const std::vector<std::string> &tokens)
    {
        for (std::uint64_t count = 1 + m_random.below(4); count > 0 && !bytes.empty(); --count) {
            const std::size_t position = m_random.below(bytes.size());
            const std::size_t size = std::min<std::size_t>(m_random.below(16) + 1, bytes.size() - position);
            switch (m_random.below(5)) {
            case 0:
                bytes[position] = static_cast<char>(m_random.below(256));
                break;
            case 1:
                bytes.erase(position, size);
                break;
            case 2:
                bytes.insert(position, bytes.substr(position, size));
                break;
            case 3:
                bytes.insert(position, 1, static_cast<char>(m_random.below(256)));
                break;
            default:
                bytes.replace(position, m_random.below(2) * size, pick(tokens));
                break;
            }
        }
        return bytes;
    }

    const std::string &pick(const std::vector<std::string> &choices)
    {
        return choices[m_random.below(choices.size())];
    }

private:
    RandomSource &m_random;
};

} // namespace Samphirepitch::Tests
