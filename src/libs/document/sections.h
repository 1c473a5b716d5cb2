#pragma once

#include "document.h"

#include <ini/reader.h>
#include <settings/declarations.h>
#include <settings/description.h>

#include <span>
#include <string_view>
#include <vector>

namespace Document
{

/// The kinds of sections of a document, with their keys, for pages and help.
std::vector<Settings::SectionDescription> sectionDescriptions();

namespace Internal
{

/// [environment], which the document holds in two of its members.
struct Environment {
    Base::EnvironmentName name;
    std::vector<Base::AvailabilityZoneName> zones;
};

/// One section as a program's whole settings.
template<typename Part>
struct Only {
    Part part;
};

template<typename Part>
using SectionDeclarations = Settings::Declarations<Only<Part>>;

/// Declared for Environment, Pool, Instance, Service, Maintenance and Weights. A section with a name, such as
/// [pool NAME], is declared without it.
template<typename Part>
const SectionDeclarations<Part> &declarations();

template<>
const SectionDeclarations<Environment> &declarations();
template<>
const SectionDeclarations<Pool> &declarations();
template<>
const SectionDeclarations<Instance> &declarations();
template<>
const SectionDeclarations<Service> &declarations();
template<>
const SectionDeclarations<Maintenance> &declarations();
template<>
const SectionDeclarations<Weights> &declarations();

/// The name of the section's kind: what stands before the blank in its header.
template<typename Part>
std::string_view kindOf()
{
    return declarations<Part>().descriptions().front().section;
}

/// The sections of a document in the order in which they are printed.
std::vector<Ini::Section> sections(const Document &document);

} // namespace Internal
} // namespace Document
