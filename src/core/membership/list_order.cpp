#include "list_order.hpp"

#include "core/mutants.hpp"
#include "watch_scheduler.hpp"

namespace violetusher::core::membership {

ListOrder order_lists(const ListIdentity& other, const ListIdentity& own) {
  if (other.discovery != own.discovery) return ListOrder::kUnrelated;
  if (mutant(Mutant::kOlderListTaken) && other.version != own.version) return ListOrder::kNewer;
  if (other.count_restarted_at != own.count_restarted_at)
    return other.count_restarted_at > own.count_restarted_at ? ListOrder::kNewerCount
                                                             : ListOrder::kOlder;
  if (other.version == own.version) return ListOrder::kSame;
  if (auto order = compare_versions(other.version, own.version))
    return *order < 0 ? ListOrder::kOlder : *order > 0 ? ListOrder::kNewer : ListOrder::kSame;
  return other.confirmed_at > own.confirmed_at ? ListOrder::kNewer : ListOrder::kOlder;
}

}  // namespace violetusher::core::membership
