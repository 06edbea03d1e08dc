#pragma once
#include <string>
#include <vector>

#include "core/forwarding/outcome.hpp"

namespace weldsail {

/// The command line with the values of an options file put before it; flags given win.
Outcome<std::vector<std::string>> options_with_file(int count, char** arguments);
/// Adds the flags that aren't given; a switch has no value.
void options_add(std::vector<std::string>& arguments, const std::vector<std::pair<std::string, std::string>>& flags);
/// Splits "a,b,c".
std::vector<std::string> options_list(const std::string& text);
/// What is wrong with an address, or nothing.
std::string address_fault(const std::string& name, const std::string& address);

}  // namespace weldsail
