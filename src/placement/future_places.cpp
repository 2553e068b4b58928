// Future places on machines that have or fetch an image. A task of an array may wait for such a place instead
// of fetching the image on another machine.

#include <algorithm>

#include "wrenusher/placement/placement_index.hpp"

namespace wrenusher::placement {

void PlacementIndex::mark_future_places_changed(const MachineEntry& entry, Slot slot) {
  for (const std::uint32_t id : entry.images) {
    if (images_[id].future_places) images_[id].future_places->changed.push_back(slot);
  }
}

/// Schedules a timer for the next time at which the remaining time of one of the machine's tasks falls to its
/// `min_remaining`.
void PlacementIndex::schedule_timer(Slot slot) {
  const MachineEntry& entry = machines_[slot];
  std::optional<Instant> next;
  for (const EndingTask& ending : entry.ending_tasks) {
    if (!ending.ends_at) continue;
    const Instant at = *ending.ends_at - ending.min_remaining;
    if (at > steady_now_ && (!next || at < *next)) next = at;
  }
  if (next) timers_.push({*next, slot, entry.set_count});
}

void PlacementIndex::run_timers(Instant steady_now) {
  steady_now_ = steady_now;
  while (!timers_.empty() && timers_.top().at <= steady_now) {
    const Timer timer = timers_.top();
    timers_.pop();
    const MachineEntry& entry = machines_[timer.machine];
    if (!entry.present || entry.set_count != timer.set_count) continue;
    mark_future_places_changed(entry, timer.machine);
    schedule_timer(timer.machine);
  }
}

bool PlacementIndex::is_earlier(const FuturePlaceEntry& left, const FuturePlaceEntry& right) const {
  if (left.key != right.key) return left.key < right.key;
  if (left.machine != right.machine)
    return machines_[left.machine].machine.name < machines_[right.machine].machine.name;
  return future_places_[left.place_id].ending_task_index < future_places_[right.place_id].ending_task_index;
}

/// Sorts the entries after the first `sorted` ones and merges both parts.
void PlacementIndex::merge_sorted(std::vector<FuturePlaceEntry>& entries, std::size_t sorted) const {
  const auto order = [this](const FuturePlaceEntry& left, const FuturePlaceEntry& right) {
    return is_earlier(left, right);
  };
  const auto middle = entries.begin() + static_cast<std::ptrdiff_t>(sorted);
  std::sort(middle, entries.end(), order);
  std::inplace_merge(entries.begin(), middle, entries.end(), order);
}

/// Appends the machine's future places to the lists. A machine with fetches in progress, or with a task that
/// waits for its image, is only added to `fetching_machines`: `recompute_fetching_future_places` handles it.
void PlacementIndex::add_future_places(ImageFuturePlaces& future_places, Slot slot) {
  const MachineEntry& entry = machines_[slot];
  if (!entry.machine.fetches.empty() ||
      std::any_of(entry.ending_tasks.begin(), entry.ending_tasks.end(),
                  [](const EndingTask& ending) { return ending.awaited_image_spec != nullptr; })) {
    future_places.fetching_machines.add(slot);
    return;
  }
  for (std::size_t i = 0; i < entry.ending_tasks.size(); ++i) {
    const EndingTask& ending = entry.ending_tasks[i];
    const std::uint32_t id = entry.future_place_ids[i];
    SizeClassFuturePlaces& lists = future_places.by_size_class[size_class(future_places_[id].room)];
    if (ending.ends_at && *ending.ends_at - steady_now_ > ending.min_remaining) {
      lists.by_end.entries.push_back({ending.ends_at->time_since_epoch().count(), id, slot});
    } else {
      lists.by_wait.entries.push_back({ending.min_remaining.count(), id, slot});
    }
  }
}

/// Returns the time until each of the machine's ending tasks frees its place. Computed once per plan.
const std::vector<Micros>& PlacementIndex::times_until_free(Slot slot) {
  MachineEntry& entry = machines_[slot];
  if (entry.times_valid_for_plan == plan_count_) return entry.times_until_free;
  entry.times_valid_for_plan = plan_count_;
  entry.times_until_free.clear();
  for (const EndingTask& ending : entry.ending_tasks)
    entry.times_until_free.push_back(time_until_free(ending, entry.machine, steady_now_));
  return entry.times_until_free;
}

/// Updates the image's future places for this plan from the changes since the last plan that used them.
void PlacementIndex::refresh_future_places(ImageEntry& image, const JobSpec& spec) {
  const bool first_time = !image.future_places;
  if (first_time) {
    image.future_places = std::make_unique<ImageFuturePlaces>();
    for (const std::uint32_t slot : image.holders) image.future_places->changed.push_back(slot);
  }
  ImageFuturePlaces& future_places = *image.future_places;
  if (future_places.valid_for_plan == plan_count_) return;
  future_places.valid_for_plan = plan_count_;
  if (!future_places.changed.empty()) replace_changed_future_places(image, first_time);
  for (auto& [size, lists] : future_places.by_size_class) {
    lists.recomputed.entries.clear();
    lists.by_end.head = lists.by_wait.head = lists.recomputed.head = 0;
  }
  recompute_fetching_future_places(future_places, spec);
  std::erase_if(future_places.by_size_class, [](const auto& lists) { return lists.second.empty(); });
  for (auto& [size, lists] : future_places.by_size_class) merge_sorted(lists.recomputed.entries, 0);
}

/// Replaces the old future places of each changed machine with its current ones.
void PlacementIndex::replace_changed_future_places(const ImageEntry& image, bool first_time) {
  ImageFuturePlaces& future_places = *image.future_places;
  std::vector<Slot> changed;
  for (const Slot slot : future_places.changed) {
    if (marked_machines_[slot] == 0) changed.push_back(slot);
    marked_machines_[slot] = 1;
  }
  future_places.changed.clear();
  const auto outdated = [this](const FuturePlaceEntry& entry) {
    return marked_machines_[entry.machine] != 0;
  };
  std::map<std::uint32_t, SortedEntries> sorted;
  for (auto& [size, lists] : future_places.by_size_class) {
    std::erase_if(lists.by_end.entries, outdated);
    std::erase_if(lists.by_wait.entries, outdated);
    sorted[size] = {lists.by_end.entries.size(), lists.by_wait.entries.size()};
  }
  for (const Slot slot : changed) {
    marked_machines_[slot] = 0;
    if (!first_time) future_places.fetching_machines.remove(slot);
    if (image.holders.contains(slot)) add_future_places(future_places, slot);
  }
  for (auto& [size, lists] : future_places.by_size_class) {
    merge_sorted(lists.by_end.entries, sorted[size].by_end);
    merge_sorted(lists.by_wait.entries, sorted[size].by_wait);
  }
}

/// Appends the places on machines with fetches in progress. They are recomputed for each plan because the
/// progress of the fetches decides when they become usable.
void PlacementIndex::recompute_fetching_future_places(ImageFuturePlaces& future_places, const JobSpec& spec) {
  for (const std::uint32_t slot : future_places.fetching_machines) {
    const MachineEntry& entry = machines_[slot];
    const Micros fetch = fetch_time(entry.machine, spec);
    const std::vector<Micros>& times = times_until_free(slot);
    for (std::size_t i = 0; i < times.size(); ++i) {
      const std::uint32_t id = entry.future_place_ids[i];
      future_places.by_size_class[size_class(future_places_[id].room)].recomputed.entries.push_back(
          {std::max(times[i], fetch).count(), id, slot});
    }
  }
}

/// Merges sorted lists of future places lazily.
class PlacementIndex::FuturePlaceMerger {
 public:
  explicit FuturePlaceMerger(const PlacementIndex& index) : index_(index) {}

  /// Adds a list. `offset` is subtracted from its keys to get the delay from the current time.
  void add(FuturePlaceList& list, std::int64_t offset) {
    while (list.head < list.entries.size() && is_reserved(list.entries[list.head])) ++list.head;
    if (list.head == list.entries.size()) return;
    const FuturePlaceEntry* first = &list.entries[list.head];
    cursors_.push_back({{first->key - offset, first->place_id, first->machine},
                        first + 1,
                        list.entries.data() + list.entries.size(),
                        offset});
  }

  bool empty() const { return cursors_.empty(); }

  /// Removes and returns the place that becomes free first. Its key is the delay from the current time.
  FuturePlaceEntry take_first() {
    // There are only a few lists, so a linear scan over their first entries is cheaper than a heap.
    Cursor* first = &cursors_.front();
    for (Cursor& other : cursors_) {
      if (other.current.key < first->current.key ||
          (other.current.key == first->current.key && index_.is_earlier(other.current, first->current)))
        first = &other;
    }
    const FuturePlaceEntry taken = first->current;
    if (first->next == first->end) {
      *first = cursors_.back();
      cursors_.pop_back();
    } else {
      first->current = {first->next->key - first->offset, first->next->place_id, first->next->machine};
      ++first->next;
    }
    return taken;
  }

 private:
  struct Cursor {
    FuturePlaceEntry current;  ///< its key is the delay from the current time
    const FuturePlaceEntry* next = nullptr;
    const FuturePlaceEntry* end = nullptr;
    std::int64_t offset = 0;
  };

  bool is_reserved(const FuturePlaceEntry& entry) const {
    return index_.future_places_[entry.place_id].reserved_in_plan == index_.plan_count_;
  }

  const PlacementIndex& index_;
  std::vector<Cursor> cursors_;
};

/// Returns the first `wanted` future places that fit the array and that no earlier job of this plan has
/// reserved.
PlacementIndex::FuturePlaceOptions PlacementIndex::find_future_places(const JobEntry& entry,
                                                                      std::uint32_t wanted) {
  FuturePlaceOptions out;
  if (!entry.uses_future_places) return out;
  const JobSpec& spec = *entry.job.spec;
  ImageEntry& image = images_[entry.image];
  refresh_future_places(image, spec);
  const Slot slot = live_jobs_[entry.live_index];
  const std::uint32_t need = size_class(spec.resources);
  FuturePlaceMerger merger(*this);
  for (auto& [size, lists] : image.future_places->by_size_class) {
    if (!covers(size, need)) continue;
    merger.add(lists.by_end, steady_now_.time_since_epoch().count());
    merger.add(lists.by_wait, 0);
    merger.add(lists.recomputed, 0);
  }
  while (out.places.size() < wanted && !merger.empty()) {
    const FuturePlaceEntry place = merger.take_first();
    ++statistics_.future_places;
    const FuturePlace& future_place = future_places_[place.place_id];
    if (future_place.reserved_in_plan != plan_count_ && spec.resources.fits(future_place.room) &&
        admits(slot, future_place.machine_class))
      out.places.push_back({Micros{place.key}, place.place_id});
  }
  return out;
}

std::uint32_t PlacementIndex::FuturePlaceOptions::count_within(Micros time, std::uint32_t tasks) const {
  const auto end = std::partition_point(places.begin(), places.end(), [&](const FuturePlaceOption& place) {
    return place.available_in <= time;
  });
  return std::min(tasks, static_cast<std::uint32_t>(end - places.begin()));
}

/// Reserves the first `tasks` of the places for the job that waits for them.
void PlacementIndex::reserve_future_places(const FuturePlaceOptions& future_places, std::uint32_t tasks) {
  for (std::uint32_t i = 0; i < tasks; ++i)
    future_places_[future_places.places[i].place_id].reserved_in_plan = plan_count_;
}

}  // namespace wrenusher::placement
