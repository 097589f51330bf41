// Composes heartbeats and sends them to one daemon, to the whole failure
// domain, or to a delegate of each other domain. Changed records are
// piggybacked on several of the next heartbeats ("recent records"), to make up
// for lost messages.

#ifndef MEDLARSPREAD_MEMBERSHIP_MESSENGER_H_
#define MEDLARSPREAD_MEMBERSHIP_MESSENGER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "src/base/clock.h"
#include "src/base/random.h"
#include "src/membership/domain_reachability.h"
#include "src/membership/draining_notices.h"
#include "src/membership/member_table.h"
#include "src/membership/membership_settings.h"
#include "src/peer/message.h"

namespace medlarspread::membership {

class Messenger {
 public:
  // `before_send` runs before each send with the peer's name, so that the
  // peer's address can be published first. References must outlive this object.
  Messenger(const MembershipSettings& settings,
            const base::Clock& clock,
            base::Random& random,
            peer::PeerPort port,
            MemberTable& table,
            DomainReachability& reachability,
            DrainingNotices& notices,
            std::function<void(const std::string&)> before_send);

  // A heartbeat with this daemon's own record only.
  peer::wire::Heartbeat Compose(HeartbeatKind kind);
  // The same with recent records added.
  peer::wire::Heartbeat ComposeWithRecent(HeartbeatKind kind);

  // A failed send is not repeated; the next round sends again anyway.
  void Send(const std::string& peer, peer::wire::Heartbeat heartbeat);

  // Sends the records to each present daemon of this failure domain, and to the
  // daemons of this domain that the records describe.
  void SpreadInDomain(const std::vector<Record>& records);
  // Sends the records to one delegate of each other reachable domain.
  void SpreadToDomains(const std::vector<Record>& records);

  // Adds the VM's record to the next heartbeats.
  void AddRecent(const std::string& name);
  // Summaries of all domains, for comparison with those of another daemon of
  // the same domain.
  std::map<std::string, peer::wire::DomainSummary> SummarizeAll() const;
  // Summaries of this and one other domain, for a daemon of the other one. Each
  // side has the best information about its own domain.
  std::map<std::string, peer::wire::DomainSummary> SummarizeFor(
      const std::string& other_domain) const;
  // The digest to compare with the one that a peer in `peer_domain` has of
  // `domain`.
  std::int64_t DigestFor(const std::string& domain,
                         const std::string& peer_domain) const;
  // The lowest active targets revision of a domain, as known here.
  std::int64_t LowestRevisionOf(const std::string& domain) const;
  // Stores the value reported by a daemon with better information on the
  // domain.
  void SetLowestRevision(const std::string& domain, std::int64_t revision);

  // Whether this daemon is one of its domain's delegates.
  bool IsDelegate() const;
  // A random delegate of another domain; empty if it has none.
  std::string PickDelegateOf(const std::string& domain);

 private:
  peer::wire::DomainSummary SummaryOf(const std::string& domain,
                                      const std::string& peer_domain) const;

  const MembershipSettings& settings_;
  const base::Clock clock_;
  base::Random& random_;
  const peer::PeerPort port_;
  MemberTable& table_;
  DomainReachability& reachability_;
  DrainingNotices& notices_;
  const std::function<void(const std::string&)> before_send_;
  // How many more heartbeats carry a VM's record, by the VM's name.
  std::map<std::string, int> recent_;
  // Lowest active targets revisions of other domains.
  std::map<std::string, std::int64_t> lowest_revisions_;
};

}  // namespace medlarspread::membership

#endif  // MEDLARSPREAD_MEMBERSHIP_MESSENGER_H_
