#pragma once

#include <cstddef>

/// Folds `keys` claims and their ends into a table, and prints the memory and the time that took.
void runTableCost(std::size_t keys, std::size_t answerBytes);
