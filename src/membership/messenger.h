// Composes heartbeats and sends them: to one daemon, to the whole failure
// domain, or to a delegate of each other domain. Changes of records ride on
// heartbeats a few times ("recent records"), so that a lost announcement is
// made up for.

#ifndef MEDLARSPREAD_MEMBERSHIP_MESSENGER_H_
#define MEDLARSPREAD_MEMBERSHIP_MESSENGER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "src/base/clock.h"
#include "src/base/random.h"
#include "src/membership/domain_watch.h"
#include "src/membership/draining_news.h"
#include "src/membership/member_table.h"
#include "src/membership/membership_settings.h"
#include "src/peer/message.h"

namespace medlarspread::membership {

class Messenger {
 public:
  // `prepare` runs before each send with the peer's name, so that the peer's
  // address can be published first. References must outlive this object.
  Messenger(const MembershipSettings& settings,
            const base::Clock& clock,
            base::Random& random,
            peer::PeerPort port,
            MemberTable& table,
            DomainWatch& watch,
            DrainingNews& news,
            std::function<void(const std::string&)> prepare);

  // A heartbeat of this daemon, without other records.
  peer::wire::Heartbeat Compose(HeartbeatKind kind);
  // The same with the recent records on it.
  peer::wire::Heartbeat ComposeWithRecent(HeartbeatKind kind);

  // A send that fails is not repeated: the next round is the repetition.
  void Send(const std::string& peer, peer::wire::Heartbeat heartbeat);

  // Tells these records to each present daemon of the own domain, and to those
  // that the records are about.
  void SpreadInDomain(const std::vector<Record>& records);
  // Tells them to one delegate of each other domain that can be reached.
  void SpreadToDomains(const std::vector<Record>& records);

  // Lets the record ride on the next heartbeats.
  void AddRecent(const std::string& name);
  // Summaries of all domains, to be compared with those of another daemon of
  // the own domain.
  std::map<std::string, peer::wire::DomainSummary> SummarizeAll() const;
  // Summaries of the own and one other domain, for a daemon of the other. Each
  // of the two knows best about itself.
  std::map<std::string, peer::wire::DomainSummary> SummarizeFor(
      const std::string& other_domain) const;
  // What the other side's digest of `domain` is compared with.
  std::int64_t DigestFor(const std::string& domain,
                         const std::string& peer_domain) const;
  // The lowest revision in force in a domain, as known here.
  std::int64_t LowestRevisionOf(const std::string& domain) const;
  // Takes over what a daemon nearer to the domain says.
  void NoteLowestRevision(const std::string& domain, std::int64_t revision);

  // Whether this daemon is one of its domain's delegates.
  bool IsDelegate() const;
  // One of the delegates of another domain, at random; empty if it has none.
  std::string PickDelegateOf(const std::string& domain);

 private:
  peer::wire::DomainSummary SummaryOf(const std::string& domain,
                                      const std::string& peer_domain) const;

  const MembershipSettings& settings_;
  const base::Clock clock_;
  base::Random& random_;
  const peer::PeerPort port_;
  MemberTable& table_;
  DomainWatch& watch_;
  DrainingNews& news_;
  const std::function<void(const std::string&)> prepare_;
  // How many more heartbeats carry the record of a VM.
  std::map<std::string, int> recent_;
  // Of other domains.
  std::map<std::string, std::int64_t> lowest_revisions_;
};

}  // namespace medlarspread::membership

#endif  // MEDLARSPREAD_MEMBERSHIP_MESSENGER_H_
