#pragma once

#include <compare>
#include <cstdint>
#include <limits>

namespace crocusdeal
{

/** A span of time in whole milliseconds; may be negative. */
struct duration {
    std::int64_t ms = 0;

    friend constexpr auto operator<=>(const duration &, const duration &) = default;
    friend constexpr duration operator+(duration a, duration b)
    {
        return {a.ms + b.ms};
    }
    friend constexpr duration operator-(duration a, duration b)
    {
        return {a.ms - b.ms};
    }
    friend constexpr duration operator*(duration a, std::int64_t factor)
    {
        return {a.ms * factor};
    }
    friend constexpr duration operator/(duration a, std::int64_t divisor)
    {
        return {a.ms / divisor};
    }
};

/** A point on the monotonic clock of this process, in milliseconds since an arbitrary start. */
struct time_point {
    std::int64_t ms = 0;

    friend constexpr auto operator<=>(const time_point &, const time_point &) = default;
    friend constexpr time_point operator+(time_point t, duration d)
    {
        return {t.ms + d.ms};
    }
    friend constexpr time_point operator-(time_point t, duration d)
    {
        return {t.ms - d.ms};
    }
    friend constexpr duration operator-(time_point a, time_point b)
    {
        return {a.ms - b.ms};
    }
};

/** Earlier than every other point; stands for "not yet". */
inline constexpr time_point never{std::numeric_limits<std::int64_t>::min() / 4};

namespace literals
{

constexpr duration operator""_ms(unsigned long long value)
{
    return {static_cast<std::int64_t>(value)};
}

constexpr duration operator""_s(unsigned long long value)
{
    return {static_cast<std::int64_t>(value) * 1000};
}

}

}
