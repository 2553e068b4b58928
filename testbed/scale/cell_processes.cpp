#include "wrenusher/testbed/cell_processes.hpp"

#include <unistd.h>
#include <uv.h>

#include <csignal>
#include <fstream>
#include <iostream>

#include "wrenusher/net/open_files.hpp"
#include "wrenusher/testbed/cell_run.hpp"

namespace wrenusher::testbed {

namespace {

nlohmann::json read_json(const std::string& file) {
  std::ifstream in(file);
  return nlohmann::json::parse(in);
}

/// Runs each cell in a child process of its own.
class CellProcesses {
 public:
  CellProcesses(const std::vector<CellLoad>& loads, int at_a_time)
      : loads_(loads), at_a_time_(at_a_time), folder_(""), results_(loads.size()) {}

  std::vector<CellResult> run() {
    uv_loop_init(&loop_);
    for (int i = 0; i < at_a_time_; ++i) start_next();
    uv_run(&loop_, UV_RUN_DEFAULT);
    uv_loop_close(&loop_);
    return std::move(results_);
  }

 private:
  struct Child {
    CellProcesses* owner = nullptr;
    std::size_t index = 0;
    uv_process_t process{};
  };

  std::string file(std::size_t i, const char* suffix) const {
    return folder_.path() + "/" + std::to_string(i) + suffix;
  }

  void start_next() {
    if (next_ == loads_.size()) return;
    const std::size_t i = next_++;
    results_[i].load = loads_[i];
    std::ofstream(file(i, ".load")) << nlohmann::json(loads_[i]);
    std::string self = "/proc/self/exe";
    // The child starts through run_child, so that it also exits when this process exits for any reason.
    std::string child_flag = kChildFlag;
    std::string cell_flag = kCellFlag;
    std::string load = file(i, ".load");
    std::string result = file(i, ".result");
    char* args[] = {self.data(), child_flag.data(), self.data(), cell_flag.data(),
                    load.data(), result.data(),     nullptr};
    uv_stdio_container_t stdio[3] = {};
    stdio[0].flags = UV_IGNORE;
    for (int descriptor : {1, 2}) {
      stdio[descriptor].flags = UV_INHERIT_FD;
      stdio[descriptor].data.fd = STDERR_FILENO;
    }
    uv_process_options_t process_options{};
    process_options.file = self.c_str();
    process_options.args = args;
    process_options.stdio = stdio;
    process_options.stdio_count = 3;
    process_options.exit_cb = [](uv_process_t* process, std::int64_t, int) {
      uv_close(reinterpret_cast<uv_handle_t*>(process), [](uv_handle_t* handle) {
        const std::unique_ptr<Child> child(static_cast<Child*>(handle->data));
        child->owner->handle_exit(child->index);
      });
    };
    auto child = std::make_unique<Child>();
    child->owner = this;
    child->index = i;
    child->process.data = child.get();
    const int spawn_error = uv_spawn(&loop_, &child->process, &process_options);
    if (spawn_error != 0)
      throw TestbedError(std::string("cannot start the process of a cell: ") + uv_strerror(spawn_error));
    child.release();  // the exit callback deletes it after closing its handle
  }

  void handle_exit(std::size_t i) {
    try {
      results_[i] = read_json(file(i, ".result")).get<CellResult>();
    } catch (const nlohmann::json::exception&) {
      results_[i].error = "the process of the cell exited without a result";
    }
    std::cerr << "[" << ++finished_ << " of " << loads_.size() << " cells]"
              << (results_[i].error.empty() ? "" : " " + loads_[i].name + ": " + results_[i].error)
              << std::endl;
    start_next();
  }

  const std::vector<CellLoad>& loads_;
  int at_a_time_;
  Folder folder_;
  std::vector<CellResult> results_;
  uv_loop_t loop_{};
  std::size_t next_ = 0;
  std::size_t finished_ = 0;
};

}  // namespace

int run_cell(const std::string& load_file, const std::string& result_file) {
  CellResult result;
  try {
    const auto load = read_json(load_file).get<CellLoad>();
    result.load = load;
    net::raise_open_file_limit(kTestbedSockets);
    net::UvRuntime runtime(kTestbedSockets, kTestbedPool);
    CellRun run(runtime, load);
    run.start([&](const CellResult& measured) {
      result = measured;
      runtime.stop();
    });
    runtime.run();
  } catch (const std::exception& e) {
    result.error = e.what();
  }
  std::ofstream out(result_file);
  out << nlohmann::json(result);
  return out.flush() ? 0 : 1;
}

std::vector<CellResult> run_cells(const std::vector<CellLoad>& loads, int at_a_time) {
  return CellProcesses(loads, at_a_time).run();
}

}  // namespace wrenusher::testbed
