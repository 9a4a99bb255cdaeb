#pragma once

#include "clock.h"

#include <cstdint>

namespace crocusdeal
{

/**
 * Evidence of another instance: the newest version of the configuration in the store, @c age before the message was
 * sent, counted from when that instance, or the one that it had it from, asked the store.
 */
struct reported_configuration {
    std::uint64_t version = 0;
    duration age;

    friend bool operator==(const reported_configuration &, const reported_configuration &) = default;
};

}
