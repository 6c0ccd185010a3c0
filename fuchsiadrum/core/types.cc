#include "fuchsiadrum/core/types.h"

namespace fuchsiadrum {

pb::Position LogPosition::ToProto() const {
  pb::Position out;
  out.set_offset(this->offset);
  out.set_index(this->index);
  return out;
}

LogPosition LogPosition::FromProto(const pb::Position& position) {
  return {position.offset(), position.index()};
}

std::string LogPosition::ToString() const {
  return std::to_string(this->offset) + "." + std::to_string(this->index);
}

pb::VmRef VmRef::ToProto() const {
  pb::VmRef out;
  out.set_vm(this->vm);
  out.set_incarnation(this->incarnation);
  return out;
}

VmRef VmRef::FromProto(const pb::VmRef& ref) {
  return {ref.vm(), ref.incarnation()};
}

std::string VmRef::ToString() const {
  return this->vm + "/" + std::to_string(this->incarnation);
}

}  // namespace fuchsiadrum
