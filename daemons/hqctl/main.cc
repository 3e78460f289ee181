// hqctl: the operators' command line.
#include <cstdlib>
#include <iostream>

#include "daemons/hqctl/app.h"

namespace {

std::string FromEnvironment(const char* name) {
  const char* value = std::getenv(name);
  return value == nullptr ? "" : value;
}

}  // namespace

int main(int argc, char** argv) {
  const std::vector<std::string> arguments(argv + std::min(argc, 1), argv + argc);
  return hickoryquay::hqctl::RunHqctl(arguments, {FromEnvironment("HQCTL_AT"), FromEnvironment("HQCTL_TOKEN_FILE")},
                                      {std::cout, std::cerr});
}
