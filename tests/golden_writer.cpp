// Writes the golden files: golden_writer DIRECTORY. Meant to be built against the version whose bytes are to
// be kept; tests/golden/README.md says how.

#include <filesystem>
#include <fstream>
#include <iostream>

#include "golden_values.hpp"

int main(int argc, char** argv) {
  if (argc != 2) {
    std::cerr << "golden_writer: needs the directory to write to\n";
    return 2;
  }
  for (const auto& [name, bytes] : wrenusher::golden::encoded_by_this_build()) {
    std::ofstream file(std::filesystem::path(argv[1]) / (name + ".hex"));
    file << wrenusher::golden::to_hex(bytes);
    if (!file.flush()) {
      std::cerr << "golden_writer: " << name << ".hex cannot be written\n";
      return 1;
    }
  }
  return 0;
}
