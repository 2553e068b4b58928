#pragma once
// An index of the live jobs as the state service has them, at one revision. Whoever asks about a job waits
// for the index to be brought up to date once more, by one request for all that wait: what an answer costs
// follows from what has changed, not from how many jobs are live or how many users ask. The index is a cache:
// it can be dropped at any time, and until it is whole again the records have to be read one by one.

#include <deque>
#include <functional>
#include <string>
#include <unordered_map>
#include <vector>

#include "wrenusher/mail/mail.hpp"
#include "wrenusher/records/records.hpp"
#include "wrenusher/store/store.hpp"

namespace wrenusher::desk {

using namespace base;
using namespace store;

class JobIndex {
 public:
  /// How a job stands by the index.
  enum class Standing {
    live,
    cancelled,  ///< live, with its cancellation recorded
    absent,  ///< over or never accepted; `on_ended` has told of it if it has ended while the index was whole
    failed   ///< the state service could not be asked, or the index is not whole any more
  };
  struct Answer {
    Standing standing = Standing::failed;
    Instant sent{};  ///< when the state service was asked: it was so then or later
  };
  using Done = std::function<void(const Answer&)>;

  /// Questions that wait at the most; what is over is refused.
  static constexpr std::size_t kMostQuestions = 12000;

  JobIndex(Runtime& rt, Store& store) : rt_(rt), store_(store) {}

  /// Reads all live jobs, and keeps the index from then on.
  void begin();
  /// Whether questions can be answered from it.
  bool whole() const { return whole_; }
  /// Whether one more question may wait.
  bool has_room() const { return questions_.size() < kMostQuestions; }
  /// Answers once the index has been brought up to date by a request that goes out from now on.
  void ask(const std::string& ref, Done done);

  std::size_t size() const { return jobs_.size(); }

  /// A job's final record was read: its state and how many tasks were done. Before any question about it is
  /// answered with `absent`.
  std::function<void(const std::string& ref, const std::string& state, std::uint64_t done)> on_ended;
  /// What each refresh has brought.
  std::function<void(const mail::RecordsFollowed&)> on_followed;

 private:
  struct Job {
    std::uint64_t stamp = 0;
    bool cancelled = false;
  };
  struct Question {
    std::string ref;
    Done done;
  };
  void read_page();
  void take_page(const Read& page);
  void drop(const char* why);
  void plan_refresh();
  Micros pause() const;
  void refresh();
  void refreshed(const FollowReply& reply);
  bool fits(const FollowReply& reply) const;
  void apply(const FollowReply& reply);
  void read_ends(std::vector<Question> waiting, Instant sent);
  void put(const Row& row);
  Standing standing_of(const std::string& ref) const;
  static void fail(std::vector<Question> questions);

  Runtime& rt_;
  Store& store_;
  std::unordered_map<std::string, Job> jobs_;
  bool whole_ = false;
  std::string page_from_;
  std::optional<std::uint64_t> first_page_;  ///< its revision
  std::uint64_t reached_ = 0;                ///< the revision at which the index stands
  std::uint64_t ends_reached_ = 0;           ///< final records up to this revision have been told of
  std::vector<Question> questions_;          ///< that the next refresh answers
  std::vector<Question> under_way_;          ///< that the present one does
  bool planned_ = false;
  bool refreshing_ = false;
  Instant last_refresh_{};
};

}  // namespace wrenusher::desk
