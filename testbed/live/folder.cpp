#include <filesystem>

#include "wrenusher/testbed/live_testbed.hpp"

namespace wrenusher::testbed {

Folder::Folder(const std::string& requested_path) : path_(requested_path), keep_(!requested_path.empty()) {
  if (keep_) {
    std::error_code error;
    std::filesystem::create_directories(path_, error);
    if (error) throw TestbedError(path_ + ": cannot be created: " + error.message());
    return;
  }
  path_ = (std::filesystem::temp_directory_path() / "wrenusher-testbed-XXXXXX").string();
  if (mkdtemp(path_.data()) == nullptr) throw TestbedError(path_ + ": cannot create a temporary folder");
}

Folder::~Folder() {
  std::error_code ignored;
  if (!keep_) std::filesystem::remove_all(path_, ignored);
}

}  // namespace wrenusher::testbed
