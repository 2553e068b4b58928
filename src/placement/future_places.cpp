// Places that will become free on machines that hold an image: an array's task may wait for one instead of
// having the image fetched elsewhere.

#include <algorithm>

#include "wrenusher/placement/placement_index.hpp"

namespace wrenusher::placement {

void PlacementIndex::mark_futures_changed(const MachineEntry& entry, Slot slot) {
  for (const std::uint32_t id : entry.images) {
    if (images_[id].futures) images_[id].futures->changed.push_back(slot);
  }
}

/// Sets a timer for the next time at which one of the machine's tasks is later than was believed.
void PlacementIndex::schedule_timer(Slot slot) {
  const MachineEntry& entry = machines_[slot];
  std::optional<Instant> next;
  for (const EndingTask& ending : entry.ending_tasks) {
    if (!ending.ends_at) continue;
    const Instant at = *ending.ends_at - ending.min_remaining;
    if (at > instant_ && (!next || at < *next)) next = at;
  }
  if (next) timers_.push({*next, slot, entry.set_count});
}

void PlacementIndex::run_timers(Instant clock) {
  instant_ = clock;
  while (!timers_.empty() && timers_.top().at <= clock) {
    const Timer timer = timers_.top();
    timers_.pop();
    const MachineEntry& entry = machines_[timer.machine];
    if (!entry.present || entry.set_count != timer.set_count) continue;
    mark_futures_changed(entry, timer.machine);
    schedule_timer(timer.machine);
  }
}

bool PlacementIndex::is_earlier(const FutureEntry& left, const FutureEntry& right) const {
  if (left.key != right.key) return left.key < right.key;
  if (left.machine != right.machine)
    return machines_[left.machine].machine.name < machines_[right.machine].machine.name;
  return futures_[left.future].index < futures_[right.future].index;
}

/// Sorts what is behind the first `sorted` entries into them.
void PlacementIndex::merge_sorted(std::vector<FutureEntry>& entries, std::size_t sorted) const {
  const auto order = [this](const FutureEntry& left, const FutureEntry& right) {
    return is_earlier(left, right);
  };
  const auto middle = entries.begin() + static_cast<std::ptrdiff_t>(sorted);
  std::sort(middle, entries.end(), order);
  std::inplace_merge(entries.begin(), middle, entries.end(), order);
}

/// Appends the machine's places to the lists.
void PlacementIndex::add_futures(ImageFutures& futures, Slot slot) {
  const MachineEntry& entry = machines_[slot];
  if (!entry.machine.fetches.empty() ||
      std::any_of(entry.ending_tasks.begin(), entry.ending_tasks.end(),
                  [](const EndingTask& ending) { return ending.awaited_image != nullptr; })) {
    futures.fetching_machines.add(slot);
    return;
  }
  for (std::size_t i = 0; i < entry.ending_tasks.size(); ++i) {
    const EndingTask& ending = entry.ending_tasks[i];
    const std::uint32_t id = entry.futures[i];
    SizeClassFutures& lists = futures.by_size_class[size_class(futures_[id].room)];
    if (ending.ends_at && *ending.ends_at - instant_ > ending.min_remaining) {
      lists.by_end.entries.push_back({ending.ends_at->time_since_epoch().count(), id, slot});
    } else {
      lists.by_wait.entries.push_back({ending.min_remaining.count(), id, slot});
    }
  }
}

/// How long from now each of the machine's ending tasks keeps its place: computed once a plan.
const std::vector<Micros>& PlacementIndex::times_until_free(Slot slot) {
  MachineEntry& entry = machines_[slot];
  if (entry.times_plan == plan_count_) return entry.times_until_free;
  entry.times_plan = plan_count_;
  entry.times_until_free.clear();
  for (const EndingTask& ending : entry.ending_tasks)
    entry.times_until_free.push_back(time_until_free(ending, entry.machine, instant_));
  return entry.times_until_free;
}

/// Brings the image's places up to date for this plan, from what has changed since the last plan that needed
/// them.
void PlacementIndex::refresh_futures(ImageEntry& image, const JobSpec& spec) {
  const bool first_time = !image.futures;
  if (first_time) {
    image.futures = std::make_unique<ImageFutures>();
    for (const std::uint32_t slot : image.holders) image.futures->changed.push_back(slot);
  }
  ImageFutures& futures = *image.futures;
  if (futures.valid_for_plan == plan_count_) return;
  futures.valid_for_plan = plan_count_;
  if (!futures.changed.empty()) replace_changed_futures(image, first_time);
  for (auto& [size, lists] : futures.by_size_class) {
    lists.recomputed.entries.clear();
    lists.by_end.head = lists.by_wait.head = lists.recomputed.head = 0;
  }
  recompute_fetching_futures(futures, spec);
  std::erase_if(futures.by_size_class, [](const auto& lists) { return lists.second.empty(); });
  for (auto& [size, lists] : futures.by_size_class) merge_sorted(lists.recomputed.entries, 0);
}

/// Takes the places of changed machines out of the lists and enters them as they are now.
void PlacementIndex::replace_changed_futures(const ImageEntry& image, bool first_time) {
  ImageFutures& futures = *image.futures;
  std::vector<Slot> changed;
  for (const Slot slot : futures.changed) {
    if (marked_machines_[slot] == 0) changed.push_back(slot);
    marked_machines_[slot] = 1;
  }
  futures.changed.clear();
  const auto outdated = [this](const FutureEntry& entry) { return marked_machines_[entry.machine] != 0; };
  std::map<std::uint32_t, SortedEntries> sorted;
  for (auto& [size, lists] : futures.by_size_class) {
    std::erase_if(lists.by_end.entries, outdated);
    std::erase_if(lists.by_wait.entries, outdated);
    sorted[size] = {lists.by_end.entries.size(), lists.by_wait.entries.size()};
  }
  for (const Slot slot : changed) {
    marked_machines_[slot] = 0;
    if (!first_time) futures.fetching_machines.remove(slot);
    if (image.holders.contains(slot)) add_futures(futures, slot);
  }
  for (auto& [size, lists] : futures.by_size_class) {
    merge_sorted(lists.by_end.entries, sorted[size].by_end);
    merge_sorted(lists.by_wait.entries, sorted[size].by_wait);
  }
}

/// Appends the places on machines with fetches under way: how those go on decides when they are free.
void PlacementIndex::recompute_fetching_futures(ImageFutures& futures, const JobSpec& spec) {
  for (const std::uint32_t slot : futures.fetching_machines) {
    const MachineEntry& entry = machines_[slot];
    const Micros fetch = fetch_time(entry.machine, spec);
    const std::vector<Micros>& times = times_until_free(slot);
    for (std::size_t i = 0; i < times.size(); ++i) {
      const std::uint32_t id = entry.futures[i];
      futures.by_size_class[size_class(futures_[id].room)].recomputed.entries.push_back(
          {std::max(times[i], fetch).count(), id, slot});
    }
  }
}

/// Merges sorted lists of places, no further than is asked for.
class PlacementIndex::FutureCursors {
 public:
  explicit FutureCursors(const PlacementIndex& index) : index_(index) {}

  /// `offset` is taken off the list's keys for the time from now.
  void add(FutureList& list, std::int64_t offset) {
    while (list.head < list.entries.size() && is_reserved(list.entries[list.head])) ++list.head;
    if (list.head == list.entries.size()) return;
    const FutureEntry* first = &list.entries[list.head];
    cursors_.push_back({{first->key - offset, first->future, first->machine},
                        first + 1,
                        list.entries.data() + list.entries.size(),
                        offset});
  }

  bool empty() const { return cursors_.empty(); }

  /// Takes the place that becomes free first; its key is the time from now.
  FutureEntry take_first() {
    // There are but a few lists: looking at the first entry of each is cheaper than keeping them in a heap.
    Cursor* first = &cursors_.front();
    for (Cursor& other : cursors_) {
      if (other.current.key < first->current.key ||
          (other.current.key == first->current.key && index_.is_earlier(other.current, first->current)))
        first = &other;
    }
    const FutureEntry taken = first->current;
    if (first->next == first->end) {
      *first = cursors_.back();
      cursors_.pop_back();
    } else {
      first->current = {first->next->key - first->offset, first->next->future, first->next->machine};
      ++first->next;
    }
    return taken;
  }

 private:
  struct Cursor {
    FutureEntry current;  ///< its key from now
    const FutureEntry* next = nullptr;
    const FutureEntry* end = nullptr;
    std::int64_t offset = 0;
  };

  bool is_reserved(const FutureEntry& entry) const {
    return index_.futures_[entry.future].reserved_in_plan == index_.plan_count_;
  }

  const PlacementIndex& index_;
  std::vector<Cursor> cursors_;
};

/// The first `wanted` places that an array could have and that no job before it in this plan waits for.
PlacementIndex::UpcomingView PlacementIndex::upcoming_places(const JobEntry& entry, std::uint32_t wanted) {
  UpcomingView out;
  if (!entry.uses_futures) return out;
  const JobSpec& spec = *entry.job.spec;
  ImageEntry& image = images_[entry.image];
  refresh_futures(image, spec);
  const Slot slot = live_jobs_[entry.live_index];
  const std::uint32_t need = size_class(spec.resources);
  FutureCursors cursors(*this);
  for (auto& [size, lists] : image.futures->by_size_class) {
    if (!covers(size, need)) continue;
    cursors.add(lists.by_end, instant_.time_since_epoch().count());
    cursors.add(lists.by_wait, 0);
    cursors.add(lists.recomputed, 0);
  }
  while (out.places.size() < wanted && !cursors.empty()) {
    const FutureEntry place = cursors.take_first();
    ++statistics_.future_places;
    const FutureCapacity& future = futures_[place.future];
    if (future.reserved_in_plan != plan_count_ && spec.resources.fits(future.room) &&
        admits(slot, future.machine_class))
      out.places.push_back({Micros{place.key}, place.future});
  }
  return out;
}

std::uint32_t PlacementIndex::UpcomingView::within(Micros time, std::uint32_t tasks) const {
  const auto end = std::partition_point(
      places.begin(), places.end(), [&](const UpcomingPlace& place) { return place.available_in <= time; });
  return std::min(tasks, static_cast<std::uint32_t>(end - places.begin()));
}

/// Reserves the first `tasks` of the places for the job that waits for them.
void PlacementIndex::reserve_upcoming(const UpcomingView& upcoming, std::uint32_t tasks) {
  for (std::uint32_t i = 0; i < tasks; ++i)
    futures_[upcoming.places[i].future].reserved_in_plan = plan_count_;
}

}  // namespace wrenusher::placement
