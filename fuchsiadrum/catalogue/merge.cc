#include "fuchsiadrum/catalogue/merge.h"

#include <google/protobuf/descriptor.h>
#include <google/protobuf/message.h>
#include <google/protobuf/util/message_differencer.h>

#include <algorithm>

namespace fuchsiadrum::catalogue {
namespace {

using google::protobuf::FieldDescriptor;
using google::protobuf::Message;
using google::protobuf::util::MessageDifferencer;

bool SameField(const Message& a, const Message& b,
               const FieldDescriptor* field) {
  MessageDifferencer differencer;
  return differencer.CompareWithFields(a, b, {field}, {field});
}

/// Copies one field of `from` to `to`.
void CopyField(const Message& from, const FieldDescriptor* field, Message& to) {
  // The other fields are cleared in a copy, the rest is merged over.
  const std::unique_ptr<Message> only(from.New());
  only->CopyFrom(from);
  std::vector<const FieldDescriptor*> set;
  from.GetReflection()->ListFields(from, &set);
  for (const FieldDescriptor* other : set) {
    if (other != field) only->GetReflection()->ClearField(only.get(), other);
  }
  to.GetReflection()->ClearField(&to, field);
  to.MergeFrom(*only);
}

/// Fields of a message type that differ, by name.
std::vector<const FieldDescriptor*> Differing(const Message& a,
                                              const Message& b) {
  std::vector<const FieldDescriptor*> out;
  const auto* type = a.GetDescriptor();
  for (int i = 0; i < type->field_count(); ++i) {
    if (!SameField(a, b, type->field(i))) out.push_back(type->field(i));
  }
  return out;
}

bool MergeInto(const Message& base, const Message& theirs, const Message& mine,
               Message& out) {
  for (const FieldDescriptor* field : Differing(base, mine)) {
    const bool both = !SameField(base, theirs, field);
    if (both && !SameField(theirs, mine, field)) return false;
    CopyField(mine, field, out);
  }
  return true;
}

const Message* Body(const pb::CatalogueEntry& entry) {
  const auto* oneof = entry.GetDescriptor()->FindOneofByName("body");
  const auto* field =
      entry.GetReflection()->GetOneofFieldDescriptor(entry, oneof);
  return field == nullptr ? nullptr
                          : &entry.GetReflection()->GetMessage(entry, field);
}

Message* MutableBody(pb::CatalogueEntry& entry) {
  const auto* oneof = entry.GetDescriptor()->FindOneofByName("body");
  const auto* field =
      entry.GetReflection()->GetOneofFieldDescriptor(entry, oneof);
  return field == nullptr
             ? nullptr
             : entry.GetReflection()->MutableMessage(&entry, field);
}

/// The entry with an empty body, for the comparison of the other fields.
pb::CatalogueEntry WithoutBody(const pb::CatalogueEntry& entry) {
  pb::CatalogueEntry out = entry;
  out.clear_body();
  return out;
}

}  // namespace

std::vector<std::string> ChangedFields(const pb::CatalogueEntry& from,
                                       const pb::CatalogueEntry& to) {
  std::vector<std::string> out;
  for (const auto* field : Differing(WithoutBody(from), WithoutBody(to))) {
    out.emplace_back(field->name());
  }

  if (from.body_case() != to.body_case()) {
    out.emplace_back("body");
    return out;
  }
  const Message* const a = Body(from);
  const Message* const b = Body(to);
  if (a == nullptr || b == nullptr) return out;
  for (const auto* field : Differing(*a, *b)) {
    out.push_back(std::string(a->GetDescriptor()->name()) + "." +
                  std::string(field->name()));
  }
  return out;
}

std::optional<pb::CatalogueEntry> MergeEntries(const pb::CatalogueEntry& base,
                                               const pb::CatalogueEntry& theirs,
                                               const pb::CatalogueEntry& mine) {
  if (base.body_case() != theirs.body_case() ||
      base.body_case() != mine.body_case()) {
    return std::nullopt;
  }

  pb::CatalogueEntry head = WithoutBody(theirs);
  if (!MergeInto(WithoutBody(base), WithoutBody(theirs), WithoutBody(mine),
                 head)) {
    return std::nullopt;
  }

  pb::CatalogueEntry out = theirs;
  Message* const body = MutableBody(out);
  if (body == nullptr ||
      !MergeInto(*Body(base), *Body(theirs), *Body(mine), *body)) {
    return std::nullopt;
  }
  out.set_name(head.name());
  out.set_owner(head.owner());
  out.set_work_class(head.work_class());
  return out;
}

}  // namespace fuchsiadrum::catalogue
