#include "entry/admin_api.h"
#include "node/node.h"

namespace lentilrack::entry {

namespace {

AdminDependencies
dependenciesOf(node::Node& node)
{
  return { node.io(),
           node.self(),
           node.table(),
           node.members(),
           node.kv(),
           node.metrics(),
           node.log().child("admin"),
           [&node] { return node.isIsolated(); } };
}

} // namespace

AdminApi::AdminApi(node::Node& node)
  : AdminApi(dependenciesOf(node))
{
}

} // namespace lentilrack::entry
