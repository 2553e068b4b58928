// Writes the golden files to a directory: golden_writer DIRECTORY. It must be built with the version whose
// encoding is to be recorded; see tests/golden/README.md.

#include <filesystem>
#include <fstream>
#include <iostream>

#include "golden_values.hpp"

int main(int argc, char** argv) {
  if (argc != 2) {
    std::cerr << "usage: golden_writer DIRECTORY\n";
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
