#include "wrenusher/placement/placement_index.hpp"

#include <algorithm>
#include <bit>
#include <limits>
#include <tuple>

namespace wrenusher::placement {

namespace {

std::uint32_t bit_width_class(Amount a) {
  return static_cast<std::uint32_t>(std::bit_width(static_cast<std::uint64_t>(a)));
}

constexpr std::uint32_t kWidthBits = 7;
constexpr std::uint32_t kWidthMask = (1U << kWidthBits) - 1;

/// A place in the vector that is free, or a new one at its end.
template <typename T>
std::uint32_t insert_at(std::vector<T>& all, std::vector<std::uint32_t>& free) {
  if (free.empty()) {
    all.emplace_back();
    return static_cast<std::uint32_t>(all.size() - 1);
  }
  const std::uint32_t id = free.back();
  free.pop_back();
  return id;
}

std::vector<std::string> names_of(const std::map<std::string, std::uint32_t>& devices) {
  std::vector<std::string> out;
  for (const auto& [name, n] : devices) out.push_back(name);
  return out;
}

}  // namespace

std::uint32_t PlacementIndex::size_class(const Resources& room) {
  if (room.cores < 0 || room.gpus < 0 || room.memory < 0) return kNoRoom;
  return (bit_width_class(room.cores) << (2 * kWidthBits)) | (bit_width_class(room.gpus) << kWidthBits) |
         bit_width_class(room.memory);
}

bool PlacementIndex::covers(std::uint32_t room, std::uint32_t need) {
  return (room >> (2 * kWidthBits)) >= (need >> (2 * kWidthBits)) &&
         ((room >> kWidthBits) & kWidthMask) >= ((need >> kWidthBits) & kWidthMask) &&
         (room & kWidthMask) >= (need & kWidthMask);
}

// ---------------------------------------------------------------- names made numbers

std::uint32_t PlacementIndex::machine_class_of(const PlanMachine& machine) {
  MachineClassKey key{machine.machine_type, machine.zone, machine.spot, {}};
  if (machine.reserved_for_devices) std::get<3>(key) = names_of(machine.place->devices);
  const auto [it, added] =
      machine_class_ids_.try_emplace(key, static_cast<std::uint32_t>(machine_classes_.size()));
  if (added)
    machine_classes_.push_back({machine.machine_type, machine.zone, machine.spot, std::get<3>(key), {}});
  return it->second;
}

std::uint32_t PlacementIndex::type_id_of(const MachineType& machine_type) {
  const auto [it, added] =
      type_ids_.try_emplace(machine_type.name, static_cast<std::uint32_t>(types_.size()));
  if (added) types_.push_back({&machine_type, 0});
  return it->second;
}

std::uint32_t PlacementIndex::image_id_of(const std::string& image) {
  const auto it = image_ids_.find(image);
  if (it != image_ids_.end()) return it->second;
  const std::uint32_t id = insert_at(images_, free_images_);
  images_[id].image = image;
  image_ids_.emplace(image, id);
  return id;
}

/// An image that no machine holds and no job waits for is forgotten: names come and go for ever.
void PlacementIndex::release_image(std::uint32_t id) {
  ImageEntry& image = images_[id];
  if (image.waiting_jobs > 0 || !image.holders.isEmpty()) return;
  image_ids_.erase(image.image);
  image = {};
  free_images_.push_back(id);
}

std::uint32_t PlacementIndex::constraint_class_of(const PlanJob& job) {
  const JobSpec& spec = *job.spec;
  const ConstraintKey key{
      spec.resources.cores, spec.resources.gpus, spec.resources.memory,   spec.machine_types, spec.zone,
      spec.spot_allowed,    job.excluded_types,  names_of(spec.devices())};
  const auto it = constraint_ids_.find(key);
  if (it != constraint_ids_.end()) {
    ++constraint_classes_[it->second].jobs;
    return it->second;
  }
  const std::uint32_t id = insert_at(constraint_classes_, free_constraint_ids_);
  constraint_classes_[id].key = constraint_ids_.emplace(key, id).first;
  constraint_classes_[id].jobs = 1;
  return id;
}

void PlacementIndex::release_constraint_class(std::uint32_t id) {
  if (--constraint_classes_[id].jobs > 0) return;
  constraint_ids_.erase(constraint_classes_[id].key);
  constraint_classes_[id] = {};
  free_constraint_ids_.push_back(id);
}

bool PlacementIndex::admits(Slot job, std::uint32_t kind) {
  const JobEntry& entry = jobs_[job];
  ConstraintClass& constraints = constraint_classes_[entry.constraint_class];
  while (constraints.admits.size() < machine_classes_.size()) {
    const MachineClass& k = machine_classes_[constraints.admits.size()];
    const std::map<std::string, std::uint32_t>& mine = entry.job.spec->devices();
    const bool guarded =
        !k.reserved_devices.empty() && std::none_of(k.reserved_devices.begin(), k.reserved_devices.end(),
                                                    [&](const auto& g) { return mine.contains(g); });
    constraints.admits.push_back(!guarded && entry.job.spec->allows(k.machine_type->name, k.zone, k.spot) &&
                                 !entry.job.excluded_types.contains(k.machine_type->name));
  }
  return constraints.admits[kind] != 0;
}

void PlacementIndex::update_fitting_types(ConstraintClass& constraints, const PlanJob& job) const {
  while (constraints.fitting_types.size() < types_.size()) {
    const MachineType& machine_type = *types_[constraints.fitting_types.size()].machine_type;
    constraints.fitting_types.push_back(!job.excluded_types.contains(machine_type.name) &&
                                        fits_machine_type(*job.spec, machine_type));
    constraints.core_equivalents.push_back(core_equivalents(job.spec->resources, machine_type));
  }
}

// ---------------------------------------------------------------- machines

PlacementIndex::Slot PlacementIndex::new_machine() {
  const Slot slot = insert_at(machines_, free_machine_slots_);
  marked_machines_.resize(machines_.size());
  return slot;
}

const PlanMachine* PlacementIndex::machine(Slot slot) const {
  return machines_[slot].present ? &machines_[slot].machine : nullptr;
}

const std::vector<EndingTask>& PlacementIndex::ending_tasks(Slot slot) const {
  return machines_[slot].ending_tasks;
}

std::vector<PlacementIndex::Slot> PlacementIndex::machines_with_image(const std::string& image) const {
  std::vector<Slot> out;
  const auto it = image_ids_.find(image);
  if (it == image_ids_.end()) return out;
  for (const std::uint32_t slot : images_[it->second].holders) out.push_back(slot);
  return out;
}

void PlacementIndex::set_machine(Slot slot, PlanMachine machine, std::vector<EndingTask> leaving,
                                 Amount cores, bool open) {
  unindex_machine(slot);
  MachineEntry& host = machines_[slot];
  host.present = true;
  host.open = open;
  host.machine = std::move(machine);
  host.ending_tasks = std::move(leaving);
  host.cores = cores;
  index_machine(slot);
}

void PlacementIndex::set_fetches(Slot slot, std::vector<PlannedFetch> pulls) {
  machines_[slot].machine.fetches = std::move(pulls);
}

void PlacementIndex::drop_machine(Slot slot) {
  unindex_machine(slot);
  MachineEntry& host = machines_[slot];
  host.present = false;
  host.machine = {};
  host.ending_tasks.clear();
  free_machine_slots_.push_back(slot);
}

void PlacementIndex::index_free_room(Slot slot, const Resources& room) {
  MachineEntry& host = machines_[slot];
  const std::uint32_t size = host.present && host.open ? size_class(room) : kNoRoom;
  if (size == host.size_class) return;
  MachineClass& kind = machine_classes_[host.machine_class];
  if (host.size_class != kNoRoom) {
    const auto it = kind.by_size_class.find(host.size_class);
    it->second.remove(slot);
    if (it->second.isEmpty()) kind.by_size_class.erase(it);
  }
  if (size != kNoRoom) kind.by_size_class[size].add(slot);
  host.size_class = size;
}

void PlacementIndex::index_machine(Slot slot) {
  MachineEntry& host = machines_[slot];
  host.machine_class = machine_class_of(host.machine);
  host.type = type_id_of(*host.machine.machine_type);
  types_[host.type].cores += host.cores;
  index_free_room(slot, host.machine.free.resources);
  host.futures.reserve(host.ending_tasks.size());
  if (host.machine.images != nullptr)
    host.images.reserve(host.machine.images->size() + host.machine.fetches.size());
  for (const EndingTask& ending : host.ending_tasks) {
    const std::uint32_t id = insert_at(futures_, free_futures_);
    Resources room = host.machine.free.resources;
    room += ending.resources;
    futures_[id] = {room, static_cast<std::uint32_t>(host.futures.size()), host.machine_class, 0};
    host.futures.push_back(id);
  }
  if (host.machine.images != nullptr) {
    for (const auto& [bundle, used] : *host.machine.images) host.images.push_back(image_id_of(bundle));
  }
  for (const PlannedFetch& fetch : host.machine.fetches) {
    if (!has_image(host.machine, fetch.image)) host.images.push_back(image_id_of(fetch.image));
  }
  for (const std::uint32_t id : host.images) images_[id].holders.add(slot);
  mark_futures_changed(host, slot);
  ++host.set_count;
  schedule_timer(slot);
}

void PlacementIndex::unindex_machine(Slot slot) {
  MachineEntry& host = machines_[slot];
  if (!host.present) return;
  types_[host.type].cores -= host.cores;
  host.present = false;
  index_free_room(slot, {});
  mark_futures_changed(host, slot);
  free_futures_.insert(free_futures_.end(), host.futures.begin(), host.futures.end());
  host.futures.clear();
  const std::vector<std::uint32_t> images = std::move(host.images);
  host.images.clear();
  for (const std::uint32_t id : images) {
    images_[id].holders.remove(slot);
    release_image(id);
  }
}

void PlacementIndex::mark_futures_changed(const MachineEntry& entry, Slot slot) {
  for (const std::uint32_t id : entry.images) {
    if (images_[id].futures) images_[id].futures->changed.push_back(slot);
  }
}

/// The next time at which one of the machine's tasks is later than was believed.
void PlacementIndex::schedule_timer(Slot slot) {
  const MachineEntry& host = machines_[slot];
  std::optional<Instant> next;
  for (const EndingTask& ending : host.ending_tasks) {
    if (!ending.ends_at || *ending.ends_at - ending.min_remaining <= instant_) continue;
    if (!next || *ending.ends_at - ending.min_remaining < *next)
      next = *ending.ends_at - ending.min_remaining;
  }
  if (next) timers_.emplace(*next, slot, host.set_count);
}

void PlacementIndex::run_timers(Instant clock) {
  instant_ = clock;
  while (!timers_.empty() && std::get<0>(timers_.top()) <= clock) {
    const auto [at, slot, set] = timers_.top();
    timers_.pop();
    if (!machines_[slot].present || machines_[slot].set_count != set) continue;
    mark_futures_changed(machines_[slot], slot);
    schedule_timer(slot);
  }
}

// ---------------------------------------------------------------- places to come

bool PlacementIndex::is_earlier(const FutureEntry& a, const FutureEntry& b) const {
  if (a.key != b.key) return a.key < b.key;
  if (a.machine != b.machine) return machines_[a.machine].machine.name < machines_[b.machine].machine.name;
  return futures_[a.future].index < futures_[b.future].index;
}

/// Sorts what is behind the first `sorted` ones into them.
void PlacementIndex::merge_sorted(std::vector<FutureEntry>& entries, std::size_t sorted) const {
  const auto order = [this](const FutureEntry& a, const FutureEntry& b) { return is_earlier(a, b); };
  const auto middle = entries.begin() + static_cast<std::ptrdiff_t>(sorted);
  std::sort(middle, entries.end(), order);
  std::inplace_merge(entries.begin(), middle, entries.end(), order);
}

/// Puts the machine's places into the shelf's lists.
void PlacementIndex::add_futures(ImageFutures& shelf, Slot slot) {
  const MachineEntry& host = machines_[slot];
  if (!host.machine.fetches.empty() ||
      std::any_of(host.ending_tasks.begin(), host.ending_tasks.end(),
                  [](const EndingTask& ending) { return ending.awaited_image != nullptr; })) {
    shelf.fetching_machines.add(slot);
    return;
  }
  for (std::size_t i = 0; i < host.ending_tasks.size(); ++i) {
    const EndingTask& ending = host.ending_tasks[i];
    SizeClassFutures& line = shelf.lines[size_class(futures_[host.futures[i]].room)];
    if (ending.ends_at && *ending.ends_at - instant_ > ending.min_remaining) {
      line.by_end.entries.push_back({ending.ends_at->time_since_epoch().count(), host.futures[i], slot});
    } else {
      line.by_wait.entries.push_back({ending.min_remaining.count(), host.futures[i], slot});
    }
  }
}

/// How long from now the places on a machine that fetches are taken: reckoned once a plan.
const std::vector<Micros>& PlacementIndex::times_until_free(Slot slot) {
  MachineEntry& host = machines_[slot];
  if (host.times_plan == plan_count_) return host.times_until_free;
  host.times_plan = plan_count_;
  host.times_until_free.clear();
  for (const EndingTask& ending : host.ending_tasks)
    host.times_until_free.push_back(time_until_free(ending, host.machine, instant_));
  return host.times_until_free;
}

/// Makes the shelf what it should be now, from what has changed since it was last looked at.
void PlacementIndex::refresh_futures(ImageEntry& image, const JobSpec& spec) {
  const bool fresh = !image.futures;
  if (fresh) {
    image.futures = std::make_unique<ImageFutures>();
    for (const std::uint32_t slot : image.holders) image.futures->changed.push_back(slot);
  }
  ImageFutures& shelf = *image.futures;
  if (shelf.valid_for_plan == plan_count_) return;
  shelf.valid_for_plan = plan_count_;
  if (!shelf.changed.empty()) {
    std::vector<Slot> changed;
    for (const Slot slot : shelf.changed) {
      if (marked_machines_[slot] == 0) changed.push_back(slot);
      marked_machines_[slot] = 1;
    }
    shelf.changed.clear();
    const auto gone = [this](const FutureEntry& e) { return marked_machines_[e.machine] != 0; };
    std::map<std::uint32_t, std::pair<std::size_t, std::size_t>> sorted;
    for (auto& [size, line] : shelf.lines) {
      std::erase_if(line.by_end.entries, gone);
      std::erase_if(line.by_wait.entries, gone);
      sorted[size] = {line.by_end.entries.size(), line.by_wait.entries.size()};
    }
    for (const Slot slot : changed) {
      marked_machines_[slot] = 0;
      if (!fresh) shelf.fetching_machines.remove(slot);
      if (image.holders.contains(slot)) add_futures(shelf, slot);
    }
    for (auto& [size, line] : shelf.lines) {
      merge_sorted(line.by_end.entries, sorted[size].first);
      merge_sorted(line.by_wait.entries, sorted[size].second);
    }
  }
  for (auto& [size, line] : shelf.lines) {
    line.moved.entries.clear();
    line.by_end.head = line.by_wait.head = line.moved.head = 0;
  }
  for (const std::uint32_t slot : shelf.fetching_machines) {
    const MachineEntry& host = machines_[slot];
    const Micros there = fetch_time(host.machine, spec);
    const std::vector<Micros>& in = times_until_free(slot);
    for (std::size_t i = 0; i < in.size(); ++i) {
      const std::uint32_t place = host.futures[i];
      shelf.lines[size_class(futures_[place].room)].moved.entries.push_back(
          {std::max(in[i], there).count(), place, slot});
    }
  }
  std::erase_if(shelf.lines, [](const auto& l) {
    return l.second.by_end.entries.empty() && l.second.by_wait.entries.empty() &&
           l.second.moved.entries.empty();
  });
  for (auto& [size, line] : shelf.lines) merge_sorted(line.moved.entries, 0);
}

std::uint32_t PlacementIndex::UpcomingView::within(Micros time, std::uint32_t tasks) const {
  const auto end = std::partition_point(
      places.begin(), places.end(), [&](const UpcomingPlace& place) { return place.available_in <= time; });
  return std::min(tasks, static_cast<std::uint32_t>(end - places.begin()));
}

/// The first `want` places that an array could have and none before it in this plan waits for.
PlacementIndex::UpcomingView PlacementIndex::upcoming_places(const JobEntry& entry, std::uint32_t want) {
  UpcomingView out;
  if (!entry.uses_futures) return out;
  ImageEntry& image = images_[entry.image];
  refresh_futures(image, *entry.job.spec);
  const Slot slot = live_jobs_[entry.live_index];
  const std::uint32_t need = size_class(entry.job.spec->resources);
  // The rows of the lines that may fit, merged no further than it takes.
  struct Cursor {
    FutureEntry now;  ///< its key from now
    const FutureEntry* next;
    const FutureEntry* end;
    std::int64_t ago;  ///< what is to be taken off its keys for the time from now
  };
  std::vector<Cursor> cursors;
  const auto add = [&](FutureList& row, std::int64_t ago) {
    while (row.head < row.entries.size() &&
           futures_[row.entries[row.head].future].reserved_in_plan == plan_count_)
      ++row.head;
    if (row.head == row.entries.size()) return;
    const FutureEntry* e = &row.entries[row.head];
    cursors.push_back(
        {{e->key - ago, e->future, e->machine}, e + 1, row.entries.data() + row.entries.size(), ago});
  };
  for (auto& [size, line] : image.futures->lines) {
    if (!covers(size, need)) continue;
    add(line.by_end, instant_.time_since_epoch().count());
    add(line.by_wait, 0);
    add(line.moved, 0);
  }
  // There are but a few rows: looking at the first of each is cheaper than keeping them in a heap.
  while (out.places.size() < want && !cursors.empty()) {
    Cursor* c = &cursors.front();
    for (Cursor& other : cursors) {
      if (other.now.key < c->now.key || (other.now.key == c->now.key && is_earlier(other.now, c->now)))
        c = &other;
    }
    ++statistics_.futures;
    const FutureCapacity& future = futures_[c->now.future];
    if (future.reserved_in_plan != plan_count_ && entry.job.spec->resources.fits(future.room) &&
        admits(slot, future.machine_class))
      out.places.push_back({Micros{c->now.key}, c->now.future});
    if (c->next == c->end) {
      *c = cursors.back();
      cursors.pop_back();
      continue;
    }
    c->now = {c->next->key - c->ago, c->next->future, c->next->machine};
    ++c->next;
  }
  return out;
}

// ---------------------------------------------------------------- jobs

PlacementIndex::Slot PlacementIndex::new_job() {
  const Slot slot = insert_at(jobs_, free_job_slots_);
  service_keys_.resize(jobs_.size());
  slacks_.resize(jobs_.size());
  return slot;
}

void PlacementIndex::set_job(Slot slot, PlanJob job, const std::vector<Objective>& objectives) {
  JobEntry& entry = jobs_[slot];
  const bool was = entry.present;
  const std::uint32_t old_likes = entry.constraint_class;
  const std::uint32_t old_image = entry.image;
  const bool old_shelved = entry.uses_futures;
  if (!was) {
    entry.live_index = live_jobs_.size();
    live_jobs_.push_back(slot);
  }
  entry.present = true;
  entry.job = std::move(job);
  const JobSpec& spec = *entry.job.spec;
  entry.aims = aims(entry.job, objectives);
  entry.constraint_class = constraint_class_of(entry.job);
  entry.image = image_id_of(spec.image);
  // Places to come are told by their room alone, not by their devices.
  entry.uses_futures = spec.type == JobType::array && spec.devices().empty();
  ++images_[entry.image].waiting_jobs;
  if (entry.uses_futures) ++images_[entry.image].waiting_arrays;
  const auto [team, added] = team_ids_.try_emplace(spec.team, static_cast<std::uint32_t>(teams_.size()));
  if (added) teams_.push_back(spec.team);
  entry.team = team->second;
  if (!was) return;
  release_constraint_class(old_likes);
  ImageEntry& image = images_[old_image];
  --image.waiting_jobs;
  if (old_shelved && --image.waiting_arrays == 0) image.futures.reset();
  release_image(old_image);
}

void PlacementIndex::drop_job(Slot slot) {
  JobEntry& entry = jobs_[slot];
  release_constraint_class(entry.constraint_class);
  ImageEntry& image = images_[entry.image];
  --image.waiting_jobs;
  if (entry.uses_futures && --image.waiting_arrays == 0) image.futures.reset();
  release_image(entry.image);
  live_jobs_[entry.live_index] = live_jobs_.back();
  jobs_[live_jobs_[entry.live_index]].live_index = entry.live_index;
  live_jobs_.pop_back();
  const bool listed = entry.in_service_order;
  entry = {};
  entry.in_service_order = listed;
  free_job_slots_.push_back(slot);
}

/// Which jobs to give up on for now, so that the most jobs meet their next target: where the cores there are
/// cannot serve all of one urgency in time, the largest of those that wait. By slot.
std::vector<char> PlacementIndex::shed_overload(const PlanningContext& context) {
  struct Item {
    Priority priority;
    Micros slack;
    Slot job;
    double seconds;  ///< of all its waiting tasks, one after the other
    double work;     ///< core seconds
  };
  std::vector<char> out(jobs_.size(), 0);
  std::vector<Item> items;
  items.reserve(live_jobs_.size());
  for (const Slot slot : live_jobs_) {
    const JobEntry& entry = jobs_[slot];
    const JobSpec& spec = *entry.job.spec;
    const Slack& slack = slacks_[slot];
    if (slack.status == DeadlineStatus::missed || slack.remaining == Micros::max() ||
        spec.type != JobType::array)
      continue;
    const double seconds = entry.job.waiting * to_seconds(entry.job.estimate);
    items.push_back(
        {spec.priority, slack.remaining, slot, seconds, seconds * from_amount(spec.resources.cores)});
  }
  std::sort(items.begin(), items.end(), [&](const Item& a, const Item& b) {
    if (std::pair(a.priority, a.slack) != std::pair(b.priority, b.slack))
      return std::pair(a.priority, a.slack) < std::pair(b.priority, b.slack);
    return jobs_[a.job].job.spec->job_id < jobs_[b.job].job.spec->job_id;
  });
  for (const auto& [f, n] : context.starting_cores) type_id_of(*f);
  std::vector<double> cores(types_.size());
  for (std::size_t t = 0; t < types_.size(); ++t) {
    Amount sum = types_[t].cores;
    for (const auto& [f, n] : context.starting_cores) sum += f->name == types_[t].machine_type->name ? n : 0;
    cores[t] = from_amount(sum);
  }
  // By name, so that sums of fractions come out the same whatever was seen first.
  std::vector<std::uint32_t> by_name;
  for (const auto& [name, t] : type_ids_) by_name.push_back(t);
  // The rule of Moore and Hodgson: take the jobs by their time to spare; where one comes too late, leave out
  // the largest so far. Work is spread evenly over the types that serve it.
  std::vector<double> waiting(types_.size(), 0);
  const auto add = [&](const Item& item, double sign) {
    ConstraintClass& likes = constraint_classes_[jobs_[item.job].constraint_class];
    update_fitting_types(likes, jobs_[item.job].job);
    double all = 0;
    for (const std::uint32_t t : by_name) all += likes.fitting_types[t] != 0 ? cores[t] : 0;
    if (all <= 0) return 0.0;
    double ahead = 0;
    for (const std::uint32_t t : by_name) {
      if (likes.fitting_types[t] == 0) continue;
      const double work = item.seconds * from_amount(likes.core_equivalents[t]);
      waiting[t] += sign * work * cores[t] / all;
      ahead += waiting[t];
    }
    return ahead / all;
  };
  // Those taken so far, the largest first and of those the earliest, by urgency and need.
  struct Largest {
    double work;
    std::size_t item;
    bool operator<(const Largest& o) const { return work != o.work ? work < o.work : item > o.item; }
  };
  std::map<std::tuple<Priority, Amount, Amount, Amount>, std::priority_queue<Largest>> groups;
  std::vector<char> left(items.size(), 0);
  for (std::size_t i = 0; i < items.size(); ++i) {
    const JobSpec& spec = *jobs_[items[i].job].job.spec;
    auto& group = groups[{spec.priority, spec.resources.cores, spec.resources.gpus, spec.resources.memory}];
    group.push({items[i].work, i});
    if (add(items[i], 1) <= to_seconds(items[i].slack)) continue;
    while (left[group.top().item] != 0) group.pop();
    const std::size_t most = group.top().work > items[i].work ? group.top().item : i;
    left[most] = 1;
    add(items[most], -1);
    out[items[most].job] = 1;
  }
  return out;
}

void PlacementIndex::rank_jobs(const PlanningContext& context) {
  for (const Slot slot : live_jobs_) slacks_[slot] = slack(jobs_[slot].aims, context.now);
  const std::vector<char> given_up = shed_overload(context);
  for (const Slot slot : live_jobs_) {
    JobEntry& entry = jobs_[slot];
    const std::int64_t accepted = entry.job.accepted_at.time_since_epoch().count();
    const std::int64_t due = entry.job.spec->deadline ? accepted + entry.job.spec->deadline->count()
                                                      : std::numeric_limits<std::int64_t>::max();
    Slack slack = slacks_[slot];
    if (slack.status == DeadlineStatus::missed) slack.pressed_for = Micros::max();
    if (given_up[slot] != 0) slack = {DeadlineStatus::missed, slack.remaining, slack.remaining};
    Priority priority = entry.job.spec->priority;
    bool behind = !entry.job.guaranteed;
    if (is_overdue(entry.job, context.now)) {
      // Among themselves the longest wait first.
      slack = {DeadlineStatus::pressed, entry.job.accepted_at - context.now, {}};
      behind = false;
      if (entry.job.spec->type == JobType::array) priority = std::min(priority, Priority::high);
    }
    service_keys_[slot] = {priority,         behind, slack.status, slack.pressed_for,
                           -rank(entry.job), due,    accepted};
    if (entry.in_service_order) continue;
    entry.in_service_order = true;
    service_order_.push_back(slot);
  }
  std::erase_if(service_order_, [&](Slot slot) {
    if (!jobs_[slot].present) jobs_[slot].in_service_order = false;
    return !jobs_[slot].present;
  });
  const auto before = [&](Slot a, Slot b) {
    return service_keys_[a] != service_keys_[b] ? service_keys_[a] < service_keys_[b]
                                                : jobs_[a].job.spec->job_id < jobs_[b].job.spec->job_id;
  };
  if (!std::is_sorted(service_order_.begin(), service_order_.end(), before))
    std::sort(service_order_.begin(), service_order_.end(), before);
}

std::vector<PlacementIndex::Slot> PlacementIndex::service_order(const PlanningContext& context) {
  rank_jobs(context);
  return service_order_;
}

// ---------------------------------------------------------------- the steps of a plan

const PlanMachine& PlacementIndex::current_state(Slot slot) const {
  const auto it = planned_machines_.find(slot);
  return it == planned_machines_.end() ? machines_[slot].machine : it->second;
}

PlanMachine& PlacementIndex::planned_state(Slot slot) {
  return planned_machines_.try_emplace(slot, machines_[slot].machine).first->second;
}

void PlacementIndex::clear() {
  // Plans go on being counted: a mark of an earlier one must not pass for one of the next.
  const std::uint64_t plans = plan_count_;
  *this = PlacementIndex{};
  plan_count_ = plans;
}

}  // namespace wrenusher::placement
