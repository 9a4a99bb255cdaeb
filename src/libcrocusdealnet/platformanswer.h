#pragma once

#include "platformclient.h"
#include "platformexchange.h"

#include <string_view>

namespace crocusdeal
{

/** Reads the answer to a GET of one object; 404 gives version 0 and 304 gives @p after without a value. */
platform_result<platform_object> readObject(const http_answer &answer, const std::string &name, std::uint64_t after);
platform_result<std::vector<platform_object>> readObjects(const http_answer &answer);
platform_result<std::vector<instance_entry>> readInstances(const http_answer &answer);
/** Reads the answer to a conditional update. */
put_result readPut(const http_answer &answer);
put_result readPutFailure(const platform_failure &failure);

/** True if both texts are JSON of the same value, whatever their spacing and order of keys. */
bool isSameJson(std::string_view a, std::string_view b);

}
