#pragma once

#include "document.h"

#include <ini/reader.h>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Document
{

/// A document without mistakes, or the mistakes.
struct Loaded {
    std::optional<Document> document;
    std::vector<Ini::Mistake> mistakes; ///< all of them, by line
};

/// Reads a document and checks it as a whole. `name` stands for the file in mistakes.
Loaded read(std::string_view text, std::string_view name);

/// As read(), from a file.
Loaded readFile(const std::string &path);

/// The INI text that read() reads back to the same document; equal documents have equal text.
std::string print(const Document &document);

/// The document with its lists sorted, as read() returns it.
Document canonical(Document document);

} // namespace Document
