#pragma once

#include "daisystream/answer/sealer.h"
#include "daisystream/answer/state.h"
#include "daisystream/balancing/endpointcooldowns.h"
#include "daisystream/endpoint/zonewithdrawals.h"
#include "daisystream/lease/leaseholder.h"
#include "daisystream/limits/endpointpermits.h"
#include "daisystream/lists/endpointstates.h"
#include "daisystream/lists/freshness.h"
#include "daisystream/lists/listedit.h"
#include "daisystream/membership/fleetring.h"
#include "daisystream/membership/vmtable.h"
#include "daisystream/orders/orderrecord.h"
#include "daisystream/quarantine/partquarantine.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

/// @file
/// The properties that the schedules check, and the mutations that their checks must notice.
///
/// Example:
/// @code
///   const Property *property = findProperty("answers");
///   std::optional<std::string> violation = property->run(seed, Faults());
/// @endcode

namespace daisystream::schedules
{

/// The deliberate breaks of all parts; none by default.
struct Faults
{
    internal::AnswerFaults answer;
    internal::ResumeFaults resume;
    internal::LedgerFaults ledger;
    internal::OrderRecordFaults record;
    internal::KeeperFaults keeper;
    internal::FreshnessFaults freshness;
    internal::ListEditFaults edit;
    internal::EndpointStateFaults states;
    internal::VmTableFaults vms;
    internal::LeaseFaults lease;
    internal::EndpointCooldownFaults rests;
    internal::FleetRingFaults ring;
    internal::EndpointPermitFaults permits;
    internal::PartQuarantineFaults parts;
    internal::ZoneWithdrawalFaults zones;
    bool ignoresDocumentVersions = false; ///< Lost announcements of documents are not repaired by the versions in heartbeats.
};

struct Mutation
{
    std::string name;
    std::function<void(Faults &)> apply;
};

struct Property
{
    std::string name;
    /// @return the violation, if there was one.
    std::function<std::optional<std::string>(std::uint64_t seed, const Faults &faults)> run;
    std::vector<Mutation> mutations;
};

[[nodiscard]] Property answersProperty();
[[nodiscard]] Property ticketsProperty();
[[nodiscard]] Property keyedOrdersProperty();
[[nodiscard]] Property listsProperty();
[[nodiscard]] Property leasesProperty();
[[nodiscard]] Property restsProperty();

/// Requests to endpoints that state limits for all VMs together, at several sizes of the fleet.
[[nodiscard]] std::vector<Property> limitProperties();

/// Parts of prompts that crash engines, at several sizes of the fleet.
[[nodiscard]] std::vector<Property> partProperties();

/// Zones that are withdrawn and restored, at several sizes of the fleet.
[[nodiscard]] std::vector<Property> zoneProperties();

/// Who is live in large fleets, and how fast they learn of changes.
[[nodiscard]] std::vector<Property> fleetProperties();

} // namespace daisystream::schedules
