/// The public header of the node library: the daemon, its settings and the
/// operators' tool.
#ifndef DRAGONFLYVANE_NODE_HPP
#define DRAGONFLYVANE_NODE_HPP

#include "dragonflyvane/core.hpp"
#include "dragonflyvane/net.hpp"
#include "dragonflyvane/node/admin/daemon_flags.hpp"
#include "dragonflyvane/node/admin/flags.hpp"
#include "dragonflyvane/node/admin/operator_tool.hpp"
#include "dragonflyvane/node/daemon.hpp"
#include "dragonflyvane/node/settings.hpp"

#endif // DRAGONFLYVANE_NODE_HPP
