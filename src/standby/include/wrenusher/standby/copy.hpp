#pragma once
// The copy of the records: live jobs and slots, kept up by the state service's changes while another leads,
// and checked against it once this node has won a term.
//
// It is filled by pages and then followed, both from the pace that nobody else wants. While it follows, the
// answer to each follow says up to which revision nothing is missing. Any doubt (a change that is older than
// what was asked for, a revision that went back, a value under another's key, changes that the service has no
// more) throws it away: a copy is whole or cold, never wrong by what is known here. What is not known here,
// the check finds (`Check`).

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "wrenusher/mail/mail.hpp"
#include "wrenusher/records/records.hpp"
#include "wrenusher/settings/settings.hpp"
#include "wrenusher/store/store.hpp"

namespace wrenusher::standby {

using namespace base;
using namespace settings;
using namespace store;

/// One put or deletion; false when the record cannot be read.
bool apply_put(records::Snapshot& s, const Row& row);
void apply_delete(records::Snapshot& s, const std::string& key, std::uint64_t stamp);

class Copy {
 public:
  Copy(Runtime& rt, const Settings& settings, Store& store) : rt_(rt), settings_(settings), store_(store) {}

  /// Begins to read and follow, from nothing.
  void begin();
  /// Stops; what is there is void.
  void stop();
  bool running() const { return running_; }
  /// It had everything up to a few seconds ago.
  bool whole() const;
  /// Hands the copy out, with what has changed until now; nothing when it is not whole or not to be had in
  /// time. Stops. `least`: the revision that it must have reached.
  void hand_over(std::uint64_t least, std::function<void(std::shared_ptr<records::Snapshot>)> done);

  /// The state service was asked then, and these live jobs are cancelled; all others that are were told
  /// before, by this copy or one of before it.
  std::function<void(Instant asked, std::vector<std::string> cancelled)> on_jobs;
  std::function<void(const mail::RecordsFollowed&)> on_followed;

  std::size_t jobs() const { return data_.jobs.size(); }
  std::size_t slots() const { return data_.slots.size(); }

 private:
  /// Jobs and slots are followed apart, each with its own revision.
  struct Part {
    const char* prefix;
    std::uint64_t reached = 0;           ///< nothing is missing up to this revision
    std::optional<std::uint64_t> first;  ///< revision of the first page
    std::string from;                    ///< the next page begins after this key
    bool filled = false;
    Instant at{};     ///< when it was last known to have reached that
    Instant asked{};  ///< when the first page was
  };
  void fill(Part& p);
  void take_page(Part& p, const Read& page);
  void tell_jobs(const Part& p, Instant asked, const std::vector<Row>& puts);
  void follow(Part& p);
  bool take(Part& p, const FollowReply& f);
  void doubt(const char* why);
  Micros pause() const;

  Runtime& rt_;
  const Settings& settings_;
  Store& store_;
  bool running_ = false;
  /// Rises with every beginning and end: what belongs to an earlier one is dropped when it comes.
  std::uint64_t generation_ = 0;
  records::Snapshot data_;
  std::array<Part, 2> parts_ = {Part{"job/", 0, {}, {}, false, {}, {}},
                                Part{"claims/", 0, {}, {}, false, {}, {}}};
};

}  // namespace wrenusher::standby
