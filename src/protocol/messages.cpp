#include "wrenusher/protocol/messages.hpp"

#include <algorithm>
#include <charconv>

#include "wrenusher/protocol/message_limits.hpp"
#include "wrenusher/settings/settings.hpp"

namespace wrenusher::protocol {

namespace {

constexpr double kMaxAmount = 1e9;
constexpr double kMaxSeconds = 1e9;
constexpr std::size_t kMaxDeviceNames = 16;
constexpr std::uint64_t kMaxDeviceCount = 1000;

/// Returns a number from 0 to `max`, or nullopt when the value is anything else.
std::optional<double> read_number(const Value& value, double max) {
  const auto number = value.number();
  if (!number || *number < 0 || *number > max) return std::nullopt;
  return number;
}

/// Returns a text of 1 to 200 bytes, the form of all names (of job classes, teams, images, machine types and
/// zones), or nullptr when the value is anything else.
const std::string* read_name(const Value& value) {
  const std::string* text = value.text();
  return text != nullptr && !text->empty() && text->size() <= 200 ? text : nullptr;
}

std::optional<JobType> read_job_type(const std::string& text) {
  if (text == "sweep") return JobType::array;
  if (text == "gang") return JobType::gang;
  if (text == "daemon") return JobType::service;
  return std::nullopt;
}

std::optional<Priority> read_priority(const std::string& text) {
  if (text == "prod") return Priority::prod;
  if (text == "high") return Priority::high;
  if (text == "normal") return Priority::normal;
  if (text == "low") return Priority::low;
  return std::nullopt;
}

constexpr const char* kJobTypeNames[] = {"sweep", "gang", "daemon"};
constexpr const char* kPriorityNames[] = {"prod", "high", "normal", "low"};

std::optional<TaskStatus> read_status(const std::string& text) {
  if (text == "pulling") return TaskStatus::fetching_image;
  if (text == "gathering") return TaskStatus::waiting_for_gang;
  if (text == "running") return TaskStatus::running;
  if (text == "saving") return TaskStatus::checkpointing;
  if (text == "ended") return TaskStatus::exited;
  return std::nullopt;
}

/// Splits a task name such as "req-000412/3" into the job id and the task number. Returns false when the name
/// is malformed.
bool split_task_name(const std::string& task_name, std::string& job_id, std::uint32_t& task) {
  const auto slash = task_name.find('/');
  if (slash == std::string::npos) return false;
  job_id = task_name.substr(0, slash);
  const char* end = task_name.data() + task_name.size();
  const auto [parsed_end, error] = std::from_chars(task_name.data() + slash + 1, end, task);
  return error == std::errc{} && parsed_end == end && !job_id.empty();
}

}  // namespace

Resources& Resources::operator+=(const Resources& other) {
  cores += other.cores;
  gpus += other.gpus;
  memory += other.memory;
  return *this;
}

Resources& Resources::operator-=(const Resources& other) {
  cores -= other.cores;
  gpus -= other.gpus;
  memory -= other.memory;
  return *this;
}

std::uint32_t count_fitting(const Resources& per_task, const Resources& available, std::uint32_t limit) {
  Amount count = limit;
  if (per_task.cores > 0) count = std::min(count, available.cores / per_task.cores);
  if (per_task.gpus > 0) count = std::min(count, available.gpus / per_task.gpus);
  if (per_task.memory > 0) count = std::min(count, available.memory / per_task.memory);
  if (available.cores < 0 || available.gpus < 0 || available.memory < 0) count = 0;
  return static_cast<std::uint32_t>(std::max<Amount>(count, 0));
}

std::uint32_t max_tasks_on(const Resources& per_task, const MachineType& machine_type, std::uint32_t limit) {
  return count_fitting(per_task, machine_type.capacity, std::min(limit, kMaxTasksPerMachine));
}

bool JobSpec::allows(const std::string& machine_type, const std::string& machine_zone, bool spot) const {
  if (spot && !spot_allowed) return false;
  if (!zone.empty() && zone != machine_zone) return false;
  return machine_types.empty() ||
         std::find(machine_types.begin(), machine_types.end(), machine_type) != machine_types.end();
}

std::uint32_t Layout::Spread::limit(std::uint32_t task_count) const {
  if (max_tasks > 0) return max_tasks;
  return std::max(1U, static_cast<std::uint32_t>(std::ceil(share * task_count - 1e-9)));
}

const std::map<std::string, std::uint32_t>& JobSpec::devices() const {
  static const std::map<std::string, std::uint32_t> kNone;
  return layout ? layout->devices : kNone;
}

bool valid_job_id(std::string_view job_id) {
  if (!job_id.starts_with("req-") || job_id.size() < 5 || job_id.size() > kMaxJobIdBytes) return false;
  return std::all_of(job_id.begin() + 4, job_id.end(),
                     [](char character) { return character >= '0' && character <= '9'; });
}

namespace {

/// Reads the fields of a submission one by one and keeps the first invalid one.
class SpecReader {
 public:
  explicit SpecReader(const Value& value) : value_(value) {}

  std::string text(const char* field) {
    const std::string* text = read_name(value_[field]);
    if (text == nullptr) fail(field, "must be a text of 1 to 200 bytes");
    return text == nullptr ? std::string() : *text;
  }
  double number(const char* field, double max) {
    const auto number = read_number(value_[field], max);
    if (!number) fail(field, "must be a number from 0 to a thousand million");
    return number.value_or(0);
  }
  bool boolean(const char* field) {
    const auto flag = value_[field].boolean();
    if (!flag) fail(field, "must be true or false");
    return flag.value_or(false);
  }
  Micros seconds(const char* field) { return from_seconds(number(field, kMaxSeconds)); }
  void fail(const char* field, const char* what) {
    if (!fault_.field.empty()) return;
    const bool present =
        !value_[std::string_view(field).substr(0, std::string_view(field).find('.'))].is_null();
    fault_ = {field, present ? what : std::string("is missing; it ") + what};
  }
  bool valid() const { return fault_.field.empty(); }
  const InvalidField& fault() const { return fault_; }

 private:
  const Value& value_;
  InvalidField fault_;
};

/// Returns whether the value is a map with no other fields than `allowed`. A misspelt layout field must be
/// refused: if it were ignored, the job would run without the constraint.
bool has_only_fields(const Value& value, std::initializer_list<std::string_view> allowed) {
  return value.map() != nullptr &&
         std::all_of(value.map()->begin(), value.map()->end(), [&](const Value::Field& field) {
           return std::find(allowed.begin(), allowed.end(), field.first) != allowed.end();
         });
}

std::optional<Layout> read_layout(const Value& value, SpecReader& reader) {
  Layout out;
  const auto read_required = [](const Value& part) -> std::optional<bool> {
    if (part["must"].is_null()) return true;
    return part["must"].boolean();
  };
  if (!has_only_fields(value, {"spread", "together", "devices"})) {
    reader.fail("layout", "must be a map of spread, together and devices");
    return std::nullopt;
  }
  if (const Value& spread = value["spread"]; !spread.is_null()) {
    const std::string* level = read_name(spread["level"]);
    const auto max_tasks = spread["most"].count();
    const auto share = spread["share"].number();
    const bool limit_valid = spread["most"].is_null() ? share && *share > 0 && *share <= 1
                                                      : spread["share"].is_null() && max_tasks &&
                                                            *max_tasks >= 1 && *max_tasks <= kMaxTasksPerJob;
    if (!has_only_fields(spread, {"level", "most", "share", "must"}) || level == nullptr || !limit_valid ||
        !read_required(spread)) {
      reader.fail(
          "layout.spread",
          "must be a map of level, most (1 to 100000) or share (above 0, to 1), and must (true or false)");
      return std::nullopt;
    }
    out.spread = {*level, static_cast<std::uint32_t>(max_tasks.value_or(0)), share.value_or(0),
                  *read_required(spread)};
  }
  if (const Value& colocation = value["together"]; !colocation.is_null()) {
    const std::string* level = read_name(colocation["level"]);
    if (!has_only_fields(colocation, {"level", "must"}) || level == nullptr || !read_required(colocation)) {
      reader.fail("layout.together", "must be a map of level and must (true or false)");
      return std::nullopt;
    }
    out.colocation = {*level, *read_required(colocation)};
  }
  if (const Value& devices = value["devices"]; !devices.is_null()) {
    bool valid = devices.map() != nullptr && devices.map()->size() <= kMaxDeviceNames;
    for (std::size_t i = 0; valid && i < devices.map()->size(); ++i) {
      const auto& [device, count_value] = (*devices.map())[i];
      const auto count = count_value.count();
      valid = !device.empty() && device.size() <= 200 && count && *count >= 1 && *count <= kMaxDeviceCount;
      if (valid) out.devices[device] = static_cast<std::uint32_t>(*count);
    }
    if (!valid) {
      reader.fail("layout.devices", "must be a map of 16 names at most, each with a count from 1 to 1000");
      return std::nullopt;
    }
  }
  return out;
}

Value write_layout(const Layout& layout) {
  Value::Map out;
  if (layout.spread) {
    Value::Map spread{{"level", layout.spread->level}, {"must", layout.spread->required}};
    if (layout.spread->max_tasks > 0) {
      spread.emplace_back("most", std::uint64_t{layout.spread->max_tasks});
    } else {
      spread.emplace_back("share", layout.spread->share);
    }
    out.emplace_back("spread", std::move(spread));
  }
  if (layout.colocation)
    out.emplace_back("together",
                     Value::Map{{"level", layout.colocation->level}, {"must", layout.colocation->required}});
  if (!layout.devices.empty()) {
    Value::Map devices;
    for (const auto& [device, count] : layout.devices) devices.emplace_back(device, std::uint64_t{count});
    out.emplace_back("devices", std::move(devices));
  }
  return out;
}

}  // namespace

std::optional<JobSpec> read_spec(const Value& value, InvalidField* fault) {
  SpecReader reader(value);
  JobSpec spec;
  spec.job_id = reader.text("ref");
  if (!valid_job_id(spec.job_id)) reader.fail("ref", "must be req- and digits, 64 bytes at most");
  spec.job_class = reader.text("queue");
  spec.team = reader.text("owner");
  if (const auto type = read_job_type(reader.text("shape"))) {
    spec.type = *type;
  } else {
    reader.fail("shape", "must be sweep, gang or daemon");
  }
  if (const auto priority = read_priority(reader.text("urgency"))) {
    spec.priority = *priority;
  } else {
    reader.fail("urgency", "must be prod, high, normal or low");
  }
  const auto task_count = value["units"].count();
  if (!task_count || *task_count < 1 || *task_count > kMaxTasksPerJob)
    reader.fail("units", "must be a whole number from 1 to 100000");
  spec.task_count =
      static_cast<std::uint32_t>(std::min<std::uint64_t>(task_count.value_or(1), kMaxTasksPerJob));
  spec.resources = {to_amount(reader.number("cores", kMaxAmount)),
                    to_amount(reader.number("cards", kMaxAmount)),
                    to_amount(reader.number("memory_gb", kMaxAmount))};
  spec.image = reader.text("bundle");
  spec.image_gb = reader.number("image_gb", kMaxAmount);
  spec.single_zone = reader.boolean("same_place");
  spec.spread_zones = reader.boolean("scatter");
  spec.spot_allowed = reader.boolean("standby");
  spec.expected_runtime = reader.seconds("expected_s");
  spec.checkpoint_interval = reader.seconds("snapshot_every_s");
  spec.checkpoint_time = reader.seconds("snapshot_s");
  if (const Value& type_names = value["flavors"]; !type_names.is_null()) {
    const bool valid = type_names.list() != nullptr && !type_names.list()->empty() &&
                       type_names.list()->size() <= 1000 &&
                       std::all_of(type_names.list()->begin(), type_names.list()->end(),
                                   [](const Value& item) { return read_name(item) != nullptr; });
    if (valid) {
      for (const Value& item : *type_names.list()) spec.machine_types.push_back(*item.text());
    } else {
      reader.fail("flavors", "must be a list of 1 to 1000 names, or null");
    }
  }
  if (!value["site"].is_null()) spec.zone = reader.text("site");
  if (!value["due_s"].is_null()) spec.deadline = reader.seconds("due_s");
  if (const Value& layout = value["layout"]; !layout.is_null()) spec.layout = read_layout(layout, reader);
  if (reader.valid()) return spec;
  if (fault != nullptr) *fault = reader.fault();
  return std::nullopt;
}

Value write_spec(const JobSpec& spec) {
  Value::List machine_types;
  for (const std::string& machine_type : spec.machine_types) machine_types.emplace_back(machine_type);
  Value::Map fields{{"ref", spec.job_id},
                    {"queue", spec.job_class},
                    {"owner", spec.team},
                    {"shape", kJobTypeNames[static_cast<int>(spec.type)]},
                    {"urgency", kPriorityNames[static_cast<int>(spec.priority)]},
                    {"units", std::uint64_t{spec.task_count}},
                    {"cores", from_amount(spec.resources.cores)},
                    {"cards", from_amount(spec.resources.gpus)},
                    {"memory_gb", from_amount(spec.resources.memory)},
                    {"bundle", spec.image},
                    {"image_gb", spec.image_gb},
                    {"same_place", spec.single_zone},
                    {"scatter", spec.spread_zones},
                    {"standby", spec.spot_allowed},
                    {"expected_s", to_seconds(spec.expected_runtime)},
                    {"snapshot_every_s", to_seconds(spec.checkpoint_interval)},
                    {"snapshot_s", to_seconds(spec.checkpoint_time)}};
  if (!machine_types.empty()) fields.emplace_back("flavors", std::move(machine_types));
  if (!spec.zone.empty()) fields.emplace_back("site", spec.zone);
  if (spec.deadline) fields.emplace_back("due_s", to_seconds(*spec.deadline));
  if (spec.layout) fields.emplace_back("layout", write_layout(*spec.layout));
  return fields;
}

std::optional<WorkerReport> read_report(const Value& value) {
  WorkerReport report;
  const std::string* host = read_name(value["host"]);
  const std::string* address = value["addr"].text();
  const std::string* machine_type = value["flavor"].text();
  const std::string* zone = value["site"].text();
  const auto standby = value["standby"].boolean();
  const auto incarnation = value["tenure"].count();
  const auto sequence = value["serial"].count();
  const auto fencing_token = value["epoch"].count();
  const Value::List* task_reports = value["units"].list();
  if (!host || !address || !machine_type || !zone || !standby || !incarnation || !sequence ||
      !fencing_token || !task_reports)
    return std::nullopt;
  report = {*host,        *address,  *machine_type,  *zone,        *standby,
            *incarnation, *sequence, *fencing_token, std::nullopt, {}};
  if (const auto seconds_left = value["warning_s"].number())
    report.eviction_notice = from_seconds(std::clamp(*seconds_left, 0.0, kMaxSeconds));
  report.tasks.reserve(task_reports->size());
  for (const Value& item : *task_reports) {
    TaskReport task;
    const std::string* name = item["unit"].text();
    const auto attempt = item["try"].count();
    const std::string* status = item["status"].text();
    if (!name || !attempt || !status || !split_task_name(*name, task.job_id, task.task)) return std::nullopt;
    const auto task_status = read_status(*status);
    if (!task_status) return std::nullopt;
    task.status = *task_status;
    task.attempt = *attempt;
    if (const std::string* cause = item["cause"].text()) task.exit_reason = *cause;
    task.progress_saved = item["kept"].boolean().value_or(false);
    report.tasks.push_back(std::move(task));
  }
  return report;
}

std::string task_name(const std::string& job_id, std::uint32_t task) {
  return job_id + "/" + std::to_string(task);
}

Value write_commands(const std::vector<WorkerCommand>& commands) {
  static constexpr const char* verbs[] = {"run", "halt", "reap"};
  Value::List out;
  out.reserve(commands.size());
  for (const WorkerCommand& command : commands) {
    Value::Map fields{{"verb", verbs[static_cast<int>(command.verb)]},
                      {"unit", task_name(command.job_id, command.task)},
                      {"try", command.attempt}};
    if (command.verb == WorkerCommand::Verb::stop)
      fields.emplace_back("leeway_s", to_seconds(command.grace_period));
    out.emplace_back(std::move(fields));
  }
  return out;
}

std::optional<Catalog> read_catalog(const Value& value) {
  const Value::List* list = value["flavors"].list();
  if (list == nullptr) return std::nullopt;
  Catalog out;
  for (const Value& item : *list) {
    MachineType machine_type;
    const std::string* type_name = read_name(item["name"]);
    const auto cores = read_number(item["cores"], kMaxAmount);
    const auto gpus = read_number(item["cards"], kMaxAmount);
    const auto memory = read_number(item["memory_gb"], kMaxAmount);
    const Value::List* zones = item["sites"].list();
    if (!type_name || !cores || !memory || !zones) return std::nullopt;
    machine_type.name = *type_name;
    machine_type.capacity = {to_amount(*cores), to_amount(gpus.value_or(0)), to_amount(*memory)};
    machine_type.image_cache_gb = item["cache_gb"].number().value_or(0);
    machine_type.fetch_gb_per_s = std::max(1e-3, item["pull_gb_per_s"].number().value_or(0));
    machine_type.price = item["rate"].number().value_or(0);
    machine_type.spot_price = item["low_price"].number().value_or(machine_type.price);
    machine_type.boot_time = from_seconds(std::clamp(item["boot_s"].number().value_or(0), 0.0, kMaxSeconds));
    for (const Value& zone : *zones) {
      if (const std::string* zone_name = read_name(zone)) machine_type.zones.push_back(*zone_name);
    }
    out.emplace(machine_type.name, std::move(machine_type));
  }
  return out;
}

std::optional<Rental> read_rental(const Value& value) {
  const std::string* host = read_name(value["ref"]);
  const std::string* machine_type = value["flavor"].text();
  const std::string* zone = value["site"].text();
  const std::string* status = value["status"].text();
  if (!host || !machine_type || !zone || !status) return std::nullopt;
  Rental rental;
  rental.host = *host;
  rental.machine_type = *machine_type;
  rental.zone = *zone;
  rental.status = *status;
  if (const std::string* address = value["addr"].text()) rental.address = *address;
  rental.spot = value["standby"].boolean().value_or(false);
  rental.age = from_seconds(std::clamp(value["held_s"].number().value_or(0), 0.0, kMaxSeconds));
  return rental;
}

std::optional<InvalidField> never_runs(const JobSpec& spec, const Catalog& catalog, const Team* team) {
  if (team == nullptr) return InvalidField{"owner", "the team '" + spec.team + "' is not known"};
  const bool all_at_once = spec.type != JobType::array;
  const Resources needed =
      all_at_once ? spec.resources * static_cast<std::int64_t>(spec.task_count) : spec.resources;
  const char* subject = all_at_once ? "all its tasks together need" : "a task needs";
  if (team->cores_max > 0 && needed.cores > to_amount(team->cores_max))
    return InvalidField{"cores", std::string(subject) + " more cores than the team may use"};
  if (team->gpus_max > 0 && needed.gpus > to_amount(team->gpus_max))
    return InvalidField{"cards", std::string(subject) + " more cards than the team may use"};
  // Gangs and services run all their tasks at the same time, so they cannot be spread over zones and stay in
  // one zone. An array may run with only half of its tasks at a time.
  if (all_at_once && spec.task_count > 1 && spec.spread_zones && (spec.single_zone || !spec.zone.empty()))
    return InvalidField{"scatter", "its tasks must be in one zone and may not be"};
  for (const auto& [type_name, machine_type] : catalog) {
    if (!spec.resources.fits(machine_type.capacity)) continue;
    for (const std::string& zone : machine_type.zones) {
      if (spec.allows(type_name, zone, false)) return std::nullopt;
    }
  }
  return InvalidField{spec.machine_types.empty() && spec.zone.empty() ? "cores"
                      : spec.machine_types.empty()                    ? "site"
                                                                      : "flavors",
                      "a task fits no machine type that the job allows"};
}

}  // namespace wrenusher::protocol
