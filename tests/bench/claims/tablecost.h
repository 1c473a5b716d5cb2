#pragma once

#include <cstddef>

/// Applies `keys` claims and their end events to a table, and prints the memory and time used.
void runTableCost(std::size_t keys, std::size_t answerBytes);
