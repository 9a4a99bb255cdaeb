#include "backoff.h"

#include <algorithm>

namespace crocusdeal
{

backoff::backoff(backoff_settings settings)
    : m_settings(settings)
    , m_bound(settings.first)
{
}

duration backoff::next(double random)
{
    const auto half = m_bound / 2;
    const duration delay{half.ms + static_cast<std::int64_t>(random * static_cast<double>((m_bound - half).ms))};
    m_bound = std::min(m_bound * 2, m_settings.longest);
    return delay;
}

void backoff::reset()
{
    m_bound = m_settings.first;
}

}
