#include "daemon/status/decisionlog.h"

#include "daemon/frontend/httprouter.h"

#include <glog/logging.h>

namespace daisystream
{

DecisionLine::DecisionLine(std::string_view decision)
    : text_("decision=")
{
    text_ += decision;
}

DecisionLine &DecisionLine::field(std::string_view name, std::string_view value)
{
    text_ += ' ';
    text_ += name;
    text_ += '=';
    text_ += percentEncoded(value);
    return *this;
}

void DecisionLine::write() const
{
    LOG(INFO) << text_;
}

} // namespace daisystream
