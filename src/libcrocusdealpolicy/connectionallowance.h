#pragma once

#include "clock.h"
#include "workspaceid.h"

#include <optional>
#include <vector>

namespace crocusdeal
{

/** How many connections this instance may hold to one target, and whether each belongs to a workspace. */
struct connection_allowance {
    int most = 2;
    bool isByWorkspace = false;
};

/**
 * The allowance of one of @p serving instances that share the @p maxConnections of a target, each connection for one
 * workspace.
 */
connection_allowance allowanceByWorkspace(int maxConnections, int serving);

/** A connection that nobody uses at the moment. */
struct idle_connection {
    workspace_id workspace; ///< Empty for one of the instance itself.
    time_point idleSince = never;
};

/** What the connections to a target are used for. */
struct connection_census {
    int all = 0; ///< With those that are being opened, and those of the instance itself.
    int ofWorkspace = 0; ///< Of these, of the workspace that needs one more.
    std::vector<idle_connection> idle;
};

enum class connection_step {
    Wait, ///< For one of its own to become free.
    Open,
    Replace, ///< Close the idle connection first.
};

struct connection_choice {
    connection_step step = connection_step::Wait;
    std::size_t closes = 0; ///< Position in connection_census::idle, for Replace.
};

/**
 * Whether a workspace may have one more connection.
 *
 * Answers the load of more workspaces than a target has connections: the one that was unused longest makes room. A
 * workspace that is busy with all its connections leaves two to the others, so that a small one gets in beside it.
 */
connection_choice chooseConnection(const connection_allowance &allowance,
                                   const workspace_id &workspace,
                                   const connection_census &census);

}
