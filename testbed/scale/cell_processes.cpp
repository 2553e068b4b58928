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
    CellProcesses* all = nullptr;
    std::size_t number = 0;
    uv_process_t process{};
  };

  std::string file(std::size_t i, const char* what) const {
    return folder_.path() + "/" + std::to_string(i) + what;
  }

  void start_next() {
    if (next_ == loads_.size()) return;
    const std::size_t i = next_++;
    results_[i].load = loads_[i];
    std::ofstream(file(i, ".load")) << nlohmann::json(loads_[i]);
    std::string self = "/proc/self/exe";
    // By way of run_child, so that it ends with this process however that ends.
    std::string as_child = kChildFlag;
    std::string cell = kCellFlag;
    std::string load = file(i, ".load");
    std::string result = file(i, ".result");
    char* args[] = {self.data(), as_child.data(), self.data(), cell.data(),
                    load.data(), result.data(),   nullptr};
    uv_stdio_container_t stdio[3] = {};
    stdio[0].flags = UV_IGNORE;
    for (int k : {1, 2}) {
      stdio[k].flags = UV_INHERIT_FD;
      stdio[k].data.fd = STDERR_FILENO;
    }
    uv_process_options_t how{};
    how.file = self.c_str();
    how.args = args;
    how.stdio = stdio;
    how.stdio_count = 3;
    how.exit_cb = [](uv_process_t* p, std::int64_t, int) {
      uv_close(reinterpret_cast<uv_handle_t*>(p), [](uv_handle_t* h) {
        const std::unique_ptr<Child> child(static_cast<Child*>(h->data));
        child->all->ended(child->number);
      });
    };
    auto child = std::make_unique<Child>();
    child->all = this;
    child->number = i;
    child->process.data = child.get();
    const int rc = uv_spawn(&loop_, &child->process, &how);
    if (rc != 0) throw TestbedError(std::string("a cell cannot be started: ") + uv_strerror(rc));
    child.release();  // until its handle is closed
  }

  void ended(std::size_t i) {
    try {
      results_[i] = read_json(file(i, ".result")).get<CellResult>();
    } catch (const nlohmann::json::exception&) {
      results_[i].error = "its process ended without a result";
    }
    std::cerr << "[" << ++ended_ << " of " << loads_.size() << " cells]"
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
  std::size_t ended_ = 0;
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
    run.start([&](const CellResult& r) {
      result = r;
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
