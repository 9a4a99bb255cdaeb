#pragma once

#include "identifiers.h"

namespace crocusdeal
{

/** Name of a workspace: of callers who share keys, a limit and a name at the targets. */
using workspace_id = identifier<struct workspace_tag>;

}
