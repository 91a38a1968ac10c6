/// The public header of the core library, which performs no input or output.
#ifndef DRAGONFLYVANE_CORE_HPP
#define DRAGONFLYVANE_CORE_HPP

#include "dragonflyvane/core/admission/admission_queue.hpp"
#include "dragonflyvane/core/admission/bulk_pacer.hpp"
#include "dragonflyvane/core/admission/crash_attribution.hpp"
#include "dragonflyvane/core/admission/retry_budget.hpp"
#include "dragonflyvane/core/admission/route_costs.hpp"
#include "dragonflyvane/core/backend_server.hpp"
#include "dragonflyvane/core/clock.hpp"
#include "dragonflyvane/core/cluster/cluster_view.hpp"
#include "dragonflyvane/core/cluster/host_info.hpp"
#include "dragonflyvane/core/cluster/store_relays.hpp"
#include "dragonflyvane/core/cluster/transaction_batch.hpp"
#include "dragonflyvane/core/configuration/configuration.hpp"
#include "dragonflyvane/core/configuration/operator_state.hpp"
#include "dragonflyvane/core/error.hpp"
#include "dragonflyvane/core/header_names.hpp"
#include "dragonflyvane/core/http_message.hpp"
#include "dragonflyvane/core/ownership/assignment.hpp"
#include "dragonflyvane/core/ownership/call_grants.hpp"
#include "dragonflyvane/core/ownership/granted_keys.hpp"
#include "dragonflyvane/core/ownership/heartbeat_grants.hpp"
#include "dragonflyvane/core/ownership/host_lease.hpp"
#include "dragonflyvane/core/ownership/ownership_map.hpp"
#include "dragonflyvane/core/ownership/point_sample.hpp"
#include "dragonflyvane/core/ownership/store_clock.hpp"
#include "dragonflyvane/core/rate/token_bucket.hpp"
#include "dragonflyvane/core/rate/workspace_rates.hpp"
#include "dragonflyvane/core/refusal.hpp"
#include "dragonflyvane/core/store.hpp"

#endif // DRAGONFLYVANE_CORE_HPP
