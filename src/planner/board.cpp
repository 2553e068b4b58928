#include "wrenusher/planner/board.hpp"

#include <algorithm>
#include <bit>
#include <limits>
#include <tuple>

namespace wrenusher::planner {

namespace {

std::uint32_t width(Amount a) {
  return static_cast<std::uint32_t>(std::bit_width(static_cast<std::uint64_t>(a)));
}

constexpr std::uint32_t kWidthBits = 7;
constexpr std::uint32_t kWidthMask = (1U << kWidthBits) - 1;

/// A place in the vector that is free, or a new one at its end.
template <typename T>
std::uint32_t place_in(std::vector<T>& all, std::vector<std::uint32_t>& free) {
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

std::uint32_t Board::size_class(const Needs& room) {
  if (room.cores < 0 || room.cards < 0 || room.memory < 0) return kNoRoom;
  return (width(room.cores) << (2 * kWidthBits)) | (width(room.cards) << kWidthBits) | width(room.memory);
}

bool Board::covers(std::uint32_t room, std::uint32_t need) {
  return (room >> (2 * kWidthBits)) >= (need >> (2 * kWidthBits)) &&
         ((room >> kWidthBits) & kWidthMask) >= ((need >> kWidthBits) & kWidthMask) &&
         (room & kWidthMask) >= (need & kWidthMask);
}

// ---------------------------------------------------------------- names made numbers

std::uint32_t Board::kind_of(const PlanHost& h) {
  KindKey key{h.flavor, h.site, h.standby, {}};
  if (h.guarded) std::get<3>(key) = names_of(h.place->devices);
  const auto [it, added] = kind_ids_.try_emplace(key, static_cast<std::uint32_t>(kinds_.size()));
  if (added) kinds_.push_back({h.flavor, h.site, h.standby, std::get<3>(key), {}});
  return it->second;
}

std::uint32_t Board::type_of(const Flavor& f) {
  const auto [it, added] = type_ids_.try_emplace(f.name, static_cast<std::uint32_t>(types_.size()));
  if (added) types_.push_back({&f, 0});
  return it->second;
}

std::uint32_t Board::image_of(const std::string& bundle) {
  const auto it = image_ids_.find(bundle);
  if (it != image_ids_.end()) return it->second;
  const std::uint32_t id = place_in(images_, free_images_);
  images_[id].bundle = bundle;
  image_ids_.emplace(bundle, id);
  return id;
}

/// An image that no machine holds and no job waits for is forgotten: names come and go for ever.
void Board::leave_image(std::uint32_t id) {
  Image& image = images_[id];
  if (image.users > 0 || !image.holders.isEmpty()) return;
  image_ids_.erase(image.bundle);
  image = {};
  free_images_.push_back(id);
}

std::uint32_t Board::likes_of(const PlanJob& job) {
  const JobSpec& spec = *job.spec;
  const LikesKey key{spec.needs.cores, spec.needs.cards, spec.needs.memory, spec.flavors,
                     spec.site,        spec.standby,     job.keep_off,      names_of(spec.devices())};
  const auto it = likes_ids_.find(key);
  if (it != likes_ids_.end()) {
    ++likes_[it->second].jobs;
    return it->second;
  }
  const std::uint32_t id = place_in(likes_, free_likes_);
  likes_[id].key = likes_ids_.emplace(key, id).first;
  likes_[id].jobs = 1;
  return id;
}

void Board::forget_likes(std::uint32_t id) {
  if (--likes_[id].jobs > 0) return;
  likes_ids_.erase(likes_[id].key);
  likes_[id] = {};
  free_likes_.push_back(id);
}

bool Board::admits(Slot job, std::uint32_t kind) {
  const Job& j = jobs_[job];
  Likes& l = likes_[j.likes];
  while (l.admits.size() < kinds_.size()) {
    const Kind& k = kinds_[l.admits.size()];
    const std::map<std::string, std::uint32_t>& mine = j.job.spec->devices();
    const bool guarded = !k.guards.empty() && std::none_of(k.guards.begin(), k.guards.end(),
                                                           [&](const auto& g) { return mine.contains(g); });
    l.admits.push_back(!guarded && j.job.spec->allows(k.flavor->name, k.site, k.standby) &&
                       !j.job.keep_off.contains(k.flavor->name));
  }
  return l.admits[kind] != 0;
}

void Board::learn_types(Likes& l, const PlanJob& job) const {
  while (l.serves.size() < types_.size()) {
    const Flavor& f = *types_[l.serves.size()].flavor;
    l.serves.push_back(!job.keep_off.contains(f.name) && fits_flavor(*job.spec, f));
    l.takes.push_back(in_cores(job.spec->needs, f));
  }
}

// ---------------------------------------------------------------- machines

Board::Slot Board::new_host() {
  const Slot slot = place_in(hosts_, free_hosts_);
  mark_.resize(hosts_.size());
  return slot;
}

const PlanHost* Board::host(Slot slot) const {
  return hosts_[slot].there ? &hosts_[slot].h : nullptr;
}

const std::vector<Leaving>& Board::leaving(Slot slot) const {
  return hosts_[slot].leaving;
}

std::vector<Board::Slot> Board::holders(const std::string& bundle) const {
  std::vector<Slot> out;
  const auto it = image_ids_.find(bundle);
  if (it == image_ids_.end()) return out;
  for (const std::uint32_t slot : images_[it->second].holders) out.push_back(slot);
  return out;
}

void Board::set_host(Slot slot, PlanHost h, std::vector<Leaving> leaving, Amount cores, bool open) {
  unfile(slot);
  Host& host = hosts_[slot];
  host.there = true;
  host.open = open;
  host.h = std::move(h);
  host.leaving = std::move(leaving);
  host.cores = cores;
  file(slot);
}

void Board::set_pulls(Slot slot, std::vector<Pull> pulls) {
  hosts_[slot].h.pulls = std::move(pulls);
}

void Board::drop_host(Slot slot) {
  unfile(slot);
  Host& host = hosts_[slot];
  host.there = false;
  host.h = {};
  host.leaving.clear();
  free_hosts_.push_back(slot);
}

void Board::file_room(Slot slot, const Needs& room) {
  Host& host = hosts_[slot];
  const std::uint32_t size = host.there && host.open ? size_class(room) : kNoRoom;
  if (size == host.room) return;
  Kind& kind = kinds_[host.kind];
  if (host.room != kNoRoom) {
    const auto it = kind.roomy.find(host.room);
    it->second.remove(slot);
    if (it->second.isEmpty()) kind.roomy.erase(it);
  }
  if (size != kNoRoom) kind.roomy[size].add(slot);
  host.room = size;
}

void Board::file(Slot slot) {
  Host& host = hosts_[slot];
  host.kind = kind_of(host.h);
  host.type = type_of(*host.h.flavor);
  types_[host.type].cores += host.cores;
  file_room(slot, host.h.free.room);
  host.places.reserve(host.leaving.size());
  if (host.h.images != nullptr) host.images.reserve(host.h.images->size() + host.h.pulls.size());
  for (const Leaving& l : host.leaving) {
    const std::uint32_t id = place_in(places_, free_places_);
    Needs room = host.h.free.room;
    room += l.needs;
    places_[id] = {room, static_cast<std::uint32_t>(host.places.size()), host.kind, 0};
    host.places.push_back(id);
  }
  if (host.h.images != nullptr) {
    for (const auto& [bundle, used] : *host.h.images) host.images.push_back(image_of(bundle));
  }
  for (const Pull& p : host.h.pulls) {
    if (!cached(host.h, p.bundle)) host.images.push_back(image_of(p.bundle));
  }
  for (const std::uint32_t id : host.images) images_[id].holders.add(slot);
  change_shelves(host, slot);
  ++host.set;
  schedule(slot);
}

void Board::unfile(Slot slot) {
  Host& host = hosts_[slot];
  if (!host.there) return;
  types_[host.type].cores -= host.cores;
  host.there = false;
  file_room(slot, {});
  change_shelves(host, slot);
  free_places_.insert(free_places_.end(), host.places.begin(), host.places.end());
  host.places.clear();
  const std::vector<std::uint32_t> images = std::move(host.images);
  host.images.clear();
  for (const std::uint32_t id : images) {
    images_[id].holders.remove(slot);
    leave_image(id);
  }
}

void Board::change_shelves(const Host& h, Slot slot) {
  for (const std::uint32_t id : h.images) {
    if (images_[id].shelf) images_[id].shelf->changed.push_back(slot);
  }
}

/// The next time at which one of the machine's tasks is later than was believed.
void Board::schedule(Slot slot) {
  const Host& host = hosts_[slot];
  std::optional<Instant> next;
  for (const Leaving& l : host.leaving) {
    if (!l.end || *l.end - l.in <= clock_) continue;
    if (!next || *l.end - l.in < *next) next = *l.end - l.in;
  }
  if (next) timers_.emplace(*next, slot, host.set);
}

void Board::settle(Instant clock) {
  clock_ = clock;
  while (!timers_.empty() && std::get<0>(timers_.top()) <= clock) {
    const auto [at, slot, set] = timers_.top();
    timers_.pop();
    if (!hosts_[slot].there || hosts_[slot].set != set) continue;
    change_shelves(hosts_[slot], slot);
    schedule(slot);
  }
}

// ---------------------------------------------------------------- places to come

bool Board::earlier(const Entry& a, const Entry& b) const {
  if (a.key != b.key) return a.key < b.key;
  if (a.host != b.host) return hosts_[a.host].h.name < hosts_[b.host].h.name;
  return places_[a.place].index < places_[b.place].index;
}

/// Sorts what is behind the first `sorted` ones into them.
void Board::sort_in(std::vector<Entry>& entries, std::size_t sorted) const {
  const auto order = [this](const Entry& a, const Entry& b) { return earlier(a, b); };
  const auto middle = entries.begin() + static_cast<std::ptrdiff_t>(sorted);
  std::sort(middle, entries.end(), order);
  std::inplace_merge(entries.begin(), middle, entries.end(), order);
}

/// Puts the machine's places into the shelf's lists.
void Board::shelve(Shelf& shelf, Slot slot) {
  const Host& host = hosts_[slot];
  if (!host.h.pulls.empty() || std::any_of(host.leaving.begin(), host.leaving.end(),
                                           [](const Leaving& l) { return l.fetches != nullptr; })) {
    shelf.moving.add(slot);
    return;
  }
  for (std::size_t i = 0; i < host.leaving.size(); ++i) {
    const Leaving& l = host.leaving[i];
    Line& line = shelf.lines[size_class(places_[host.places[i]].room)];
    if (l.end && *l.end - clock_ > l.in) {
      line.by_end.entries.push_back({l.end->time_since_epoch().count(), host.places[i], slot});
    } else {
      line.by_wait.entries.push_back({l.in.count(), host.places[i], slot});
    }
  }
}

/// How long from now the places on a machine that fetches are taken: reckoned once a plan.
const std::vector<Micros>& Board::leaves(Slot slot) {
  Host& host = hosts_[slot];
  if (host.leaves_in_plan == plans_) return host.leaves_in;
  host.leaves_in_plan = plans_;
  host.leaves_in.clear();
  for (const Leaving& l : host.leaving) host.leaves_in.push_back(leaves_in(l, host.h, clock_));
  return host.leaves_in;
}

/// Makes the shelf what it should be now, from what has changed since it was last looked at.
void Board::refresh(Image& image, const JobSpec& spec) {
  const bool fresh = !image.shelf;
  if (fresh) {
    image.shelf = std::make_unique<Shelf>();
    for (const std::uint32_t slot : image.holders) image.shelf->changed.push_back(slot);
  }
  Shelf& shelf = *image.shelf;
  if (shelf.plan == plans_) return;
  shelf.plan = plans_;
  if (!shelf.changed.empty()) {
    std::vector<Slot> changed;
    for (const Slot slot : shelf.changed) {
      if (mark_[slot] == 0) changed.push_back(slot);
      mark_[slot] = 1;
    }
    shelf.changed.clear();
    const auto gone = [this](const Entry& e) { return mark_[e.host] != 0; };
    std::map<std::uint32_t, std::pair<std::size_t, std::size_t>> sorted;
    for (auto& [size, line] : shelf.lines) {
      std::erase_if(line.by_end.entries, gone);
      std::erase_if(line.by_wait.entries, gone);
      sorted[size] = {line.by_end.entries.size(), line.by_wait.entries.size()};
    }
    for (const Slot slot : changed) {
      mark_[slot] = 0;
      if (!fresh) shelf.moving.remove(slot);
      if (image.holders.contains(slot)) shelve(shelf, slot);
    }
    for (auto& [size, line] : shelf.lines) {
      sort_in(line.by_end.entries, sorted[size].first);
      sort_in(line.by_wait.entries, sorted[size].second);
    }
  }
  for (auto& [size, line] : shelf.lines) {
    line.moved.entries.clear();
    line.by_end.head = line.by_wait.head = line.moved.head = 0;
  }
  for (const std::uint32_t slot : shelf.moving) {
    const Host& host = hosts_[slot];
    const Micros there = fetch_time(host.h, spec);
    const std::vector<Micros>& in = leaves(slot);
    for (std::size_t i = 0; i < in.size(); ++i) {
      const std::uint32_t place = host.places[i];
      shelf.lines[size_class(places_[place].room)].moved.entries.push_back(
          {std::max(in[i], there).count(), place, slot});
    }
  }
  std::erase_if(shelf.lines, [](const auto& l) {
    return l.second.by_end.entries.empty() && l.second.by_wait.entries.empty() &&
           l.second.moved.entries.empty();
  });
  for (auto& [size, line] : shelf.lines) sort_in(line.moved.entries, 0);
}

std::uint32_t Board::View::within(Micros time, std::uint32_t tasks) const {
  const auto end =
      std::partition_point(places.begin(), places.end(), [&](const Soon& p) { return p.in <= time; });
  return std::min(tasks, static_cast<std::uint32_t>(end - places.begin()));
}

/// The first `want` places that an array could have and none before it in this plan waits for.
Board::View Board::view(const Job& j, std::uint32_t want) {
  View out;
  if (!j.shelved) return out;
  Image& image = images_[j.image];
  refresh(image, *j.job.spec);
  const Slot slot = live_jobs_[j.at];
  const std::uint32_t need = size_class(j.job.spec->needs);
  // The rows of the lines that may fit, merged no further than it takes.
  struct Cursor {
    Entry now;  ///< its key from now
    const Entry* next;
    const Entry* end;
    std::int64_t ago;  ///< what is to be taken off its keys for the time from now
  };
  std::vector<Cursor> cursors;
  const auto add = [&](Row& row, std::int64_t ago) {
    while (row.head < row.entries.size() && places_[row.entries[row.head].place].taken == plans_) ++row.head;
    if (row.head == row.entries.size()) return;
    const Entry* e = &row.entries[row.head];
    cursors.push_back(
        {{e->key - ago, e->place, e->host}, e + 1, row.entries.data() + row.entries.size(), ago});
  };
  for (auto& [size, line] : image.shelf->lines) {
    if (!covers(size, need)) continue;
    add(line.by_end, clock_.time_since_epoch().count());
    add(line.by_wait, 0);
    add(line.moved, 0);
  }
  // There are but a few rows: looking at the first of each is cheaper than keeping them in a heap.
  while (out.places.size() < want && !cursors.empty()) {
    Cursor* c = &cursors.front();
    for (Cursor& other : cursors) {
      if (other.now.key < c->now.key || (other.now.key == c->now.key && earlier(other.now, c->now)))
        c = &other;
    }
    ++looked_.places;
    const Later& p = places_[c->now.place];
    if (p.taken != plans_ && j.job.spec->needs.fits(p.room) && admits(slot, p.kind))
      out.places.push_back({Micros{c->now.key}, c->now.place});
    if (c->next == c->end) {
      *c = cursors.back();
      cursors.pop_back();
      continue;
    }
    c->now = {c->next->key - c->ago, c->next->place, c->next->host};
    ++c->next;
  }
  return out;
}

// ---------------------------------------------------------------- jobs

Board::Slot Board::new_job() {
  const Slot slot = place_in(jobs_, free_jobs_);
  keys_.resize(jobs_.size());
  slacks_.resize(jobs_.size());
  return slot;
}

void Board::set_job(Slot slot, PlanJob job, const std::vector<Objective>& objectives) {
  Job& j = jobs_[slot];
  const bool was = j.there;
  const std::uint32_t old_likes = j.likes;
  const std::uint32_t old_image = j.image;
  const bool old_shelved = j.shelved;
  if (!was) {
    j.at = live_jobs_.size();
    live_jobs_.push_back(slot);
  }
  j.there = true;
  j.job = std::move(job);
  const JobSpec& spec = *j.job.spec;
  j.aims = aims(j.job, objectives);
  j.likes = likes_of(j.job);
  j.image = image_of(spec.bundle);
  // Places to come are told by their room alone, not by their devices.
  j.shelved = spec.shape == Shape::sweep && spec.devices().empty();
  ++images_[j.image].users;
  if (j.shelved) ++images_[j.image].waiting;
  const auto [team, added] = team_ids_.try_emplace(spec.owner, static_cast<std::uint32_t>(teams_.size()));
  if (added) teams_.push_back(spec.owner);
  j.team = team->second;
  if (!was) return;
  forget_likes(old_likes);
  Image& image = images_[old_image];
  --image.users;
  if (old_shelved && --image.waiting == 0) image.shelf.reset();
  leave_image(old_image);
}

void Board::drop_job(Slot slot) {
  Job& j = jobs_[slot];
  forget_likes(j.likes);
  Image& image = images_[j.image];
  --image.users;
  if (j.shelved && --image.waiting == 0) image.shelf.reset();
  leave_image(j.image);
  live_jobs_[j.at] = live_jobs_.back();
  jobs_[live_jobs_[j.at]].at = j.at;
  live_jobs_.pop_back();
  const bool listed = j.listed;
  j = {};
  j.listed = listed;
  free_jobs_.push_back(slot);
}

/// Which jobs to give up on for now, so that the most jobs meet their next target: where the cores there are
/// cannot serve all of one urgency in time, the largest of those that wait. By slot.
std::vector<char> Board::overload(const Moment& m) {
  struct Item {
    Urgency urgency;
    Micros spare;
    Slot job;
    double seconds;  ///< of all its waiting tasks, one after the other
    double work;     ///< core seconds
  };
  std::vector<char> out(jobs_.size(), 0);
  std::vector<Item> items;
  items.reserve(live_jobs_.size());
  for (const Slot slot : live_jobs_) {
    const Job& j = jobs_[slot];
    const JobSpec& spec = *j.job.spec;
    const Slack& sl = slacks_[slot];
    if (sl.standing == Standing::late || sl.spare == Micros::max() || spec.shape != Shape::sweep) continue;
    const double seconds = j.job.waiting * to_seconds(j.job.estimate);
    items.push_back({spec.urgency, sl.spare, slot, seconds, seconds * from_amount(spec.needs.cores)});
  }
  std::sort(items.begin(), items.end(), [&](const Item& a, const Item& b) {
    if (std::pair(a.urgency, a.spare) != std::pair(b.urgency, b.spare))
      return std::pair(a.urgency, a.spare) < std::pair(b.urgency, b.spare);
    return jobs_[a.job].job.spec->ref < jobs_[b.job].job.spec->ref;
  });
  for (const auto& [f, n] : m.coming) type_of(*f);
  std::vector<double> cores(types_.size());
  for (std::size_t t = 0; t < types_.size(); ++t) {
    Amount sum = types_[t].cores;
    for (const auto& [f, n] : m.coming) sum += f->name == types_[t].flavor->name ? n : 0;
    cores[t] = from_amount(sum);
  }
  // By name, so that sums of fractions come out the same whatever was seen first.
  std::vector<std::uint32_t> by_name;
  for (const auto& [name, t] : type_ids_) by_name.push_back(t);
  // The rule of Moore and Hodgson: take the jobs by their time to spare; where one comes too late, leave out
  // the largest so far. Work is spread evenly over the types that serve it.
  std::vector<double> waiting(types_.size(), 0);
  const auto add = [&](const Item& item, double sign) {
    Likes& likes = likes_[jobs_[item.job].likes];
    learn_types(likes, jobs_[item.job].job);
    double all = 0;
    for (const std::uint32_t t : by_name) all += likes.serves[t] != 0 ? cores[t] : 0;
    if (all <= 0) return 0.0;
    double ahead = 0;
    for (const std::uint32_t t : by_name) {
      if (likes.serves[t] == 0) continue;
      const double work = item.seconds * from_amount(likes.takes[t]);
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
  std::map<std::tuple<Urgency, Amount, Amount, Amount>, std::priority_queue<Largest>> groups;
  std::vector<char> left(items.size(), 0);
  for (std::size_t i = 0; i < items.size(); ++i) {
    const JobSpec& spec = *jobs_[items[i].job].job.spec;
    auto& group = groups[{spec.urgency, spec.needs.cores, spec.needs.cards, spec.needs.memory}];
    group.push({items[i].work, i});
    if (add(items[i], 1) <= to_seconds(items[i].spare)) continue;
    while (left[group.top().item] != 0) group.pop();
    const std::size_t most = group.top().work > items[i].work ? group.top().item : i;
    left[most] = 1;
    add(items[most], -1);
    out[items[most].job] = 1;
  }
  return out;
}

void Board::rank_jobs(const Moment& m) {
  for (const Slot slot : live_jobs_) slacks_[slot] = slack(jobs_[slot].aims, m.now);
  const std::vector<char> given_up = overload(m);
  for (const Slot slot : live_jobs_) {
    Job& j = jobs_[slot];
    const std::int64_t accepted = j.job.accepted.time_since_epoch().count();
    const std::int64_t due =
        j.job.spec->due ? accepted + j.job.spec->due->count() : std::numeric_limits<std::int64_t>::max();
    Slack sl = slacks_[slot];
    if (sl.standing == Standing::late) sl.left = Micros::max();
    if (given_up[slot] != 0) sl = {Standing::late, sl.spare, sl.spare};
    Urgency urgency = j.job.spec->urgency;
    bool behind = !j.job.guaranteed;
    if (overdue(j.job, m.now)) {
      // Among themselves the longest wait first.
      sl = {Standing::pressed, j.job.accepted - m.now, {}};
      behind = false;
      if (j.job.spec->shape == Shape::sweep) urgency = std::min(urgency, Urgency::high);
    }
    keys_[slot] = {urgency, behind, sl.standing, sl.left, -rank(j.job), due, accepted};
    if (j.listed) continue;
    j.listed = true;
    order_.push_back(slot);
  }
  std::erase_if(order_, [&](Slot slot) {
    if (!jobs_[slot].there) jobs_[slot].listed = false;
    return !jobs_[slot].there;
  });
  const auto before = [&](Slot a, Slot b) {
    return keys_[a] != keys_[b] ? keys_[a] < keys_[b] : jobs_[a].job.spec->ref < jobs_[b].job.spec->ref;
  };
  if (!std::is_sorted(order_.begin(), order_.end(), before)) std::sort(order_.begin(), order_.end(), before);
}

std::vector<Board::Slot> Board::order(const Moment& m) {
  rank_jobs(m);
  return order_;
}

// ---------------------------------------------------------------- the steps of a plan

const PlanHost& Board::now(Slot slot) const {
  const auto it = booked_.find(slot);
  return it == booked_.end() ? hosts_[slot].h : it->second;
}

PlanHost& Board::booked(Slot slot) {
  return booked_.try_emplace(slot, hosts_[slot].h).first->second;
}

void Board::clear() {
  // Plans go on being counted: a mark of an earlier one must not pass for one of the next.
  const std::uint64_t plans = plans_;
  *this = Board{};
  plans_ = plans;
}

}  // namespace wrenusher::planner
