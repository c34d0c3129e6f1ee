// Parses and validates the declarative file: first the types and ranges of its values, then the
// references between them.

#include "cedarpoint/config/configuration.h"
#include "cedarpoint/config/json_reader.h"
#include "cedarpoint/core/hash.h"

#include <algorithm>
#include <fmt/format.h>
#include <map>
#include <set>

namespace cedarpoint {
namespace {

// Replicas in the supported deployments span 4 to 32 nodes.
constexpr int min_group_nodes = 4;
constexpr int max_group_nodes = 32;

endpoint read_address(json_reader& in)
{
    const auto text = in.string("address");
    const auto it = endpoint::parse(text);
    if (!it && !text.empty()) {
        in.add_fault("address", "must be an IP number and port, such as 127.0.0.1:9000");
    }
    return it.value_or(endpoint{});
}

void read_topology(json_reader& in, configuration& out)
{
    for (auto& it : in.strings_or_empty("failure_domains")) {
        out.failure_domains.emplace_back(std::move(it));
    }
    in.for_each_object("fabric_domains", [&](json_reader& e) {
        out.fabric_domains.push_back(
            {fabric_domain_id{e.string("id")}, failure_domain_id{e.string("failure_domain")}});
    });
    in.for_each_object("nodes", [&](json_reader& e) {
        out.nodes.push_back({node_id{e.string("id")}, fabric_domain_id{e.string("fabric_domain")},
                             static_cast<int>(e.integer_or("accelerators", 8, {1, 64}))});
    });
    in.for_each_object("runners", [&](json_reader& e) {
        out.runners.push_back({runner_id{e.string("id")}, node_id{e.string("node")},
                               read_address(e), e.boolean_or("checks_epoch", true),
                               static_cast<int>(e.integer_or("slots", 8, {1, 100000}))});
    });
}

group_role read_role(json_reader& in)
{
    const auto text = in.string_or("role", "converged");
    for (const auto it : {group_role::converged, group_role::prefill, group_role::decode}) {
        if (name_of(it) == text) {
            return it;
        }
    }
    in.add_fault("role", "must be converged, prefill or decode");
    return group_role::converged;
}

void read_models_and_pools(json_reader& in, configuration& out)
{
    in.for_each_object("models", [&](json_reader& e) {
        out.models.push_back({model_id{e.string("id")}, e.strings_or_empty("versions"),
                              e.strings_or_empty("adapters")});
    });
    in.for_each_object("replica_groups", [&](json_reader& e) {
        pool_spec it;
        it.id = pool_id{e.string("id")};
        it.model = model_id{e.string("model")};
        it.version = e.string("version");
        it.adapters = e.strings_or_empty("adapters");
        it.failure_domain = failure_domain_id{e.string("failure_domain")};
        it.size = static_cast<int>(e.integer("size", {min_group_nodes, max_group_nodes}));
        it.count = static_cast<int>(e.integer("count", {1, 10000}));
        it.role = read_role(e);
        out.pools.push_back(std::move(it));
    });
}

void read_services_and_routes(json_reader& in, configuration& out)
{
    in.for_each_object("services", [&](json_reader& e) {
        service_spec it;
        it.id = service_id{e.string("id")};
        it.path_prefix = e.string("path_prefix");
        if (!it.path_prefix.empty() && it.path_prefix.front() != '/') {
            e.add_fault("path_prefix", "must begin with /");
        }
        if (it.path_prefix.starts_with("/v1/") || it.path_prefix == "/v1") {
            e.add_fault("path_prefix", "/v1 belongs to the models");
        }
        e.for_each_object("upstreams", [&](json_reader& u) {
            it.upstreams.push_back({runner_id{u.string("id")},
                                    failure_domain_id{u.string("failure_domain")}, read_address(u),
                                    static_cast<int>(u.integer_or("slots", 64, {1, 100000}))});
        });
        out.services.push_back(std::move(it));
    });
    in.for_each_object("routing_rules", [&](json_reader& e) {
        route_spec it;
        it.model = model_id{e.string("model")};
        if (e.has("account")) {
            it.account = client_account_id{e.string("account")};
        }
        else {
            e.string_or("account", "");
        }
        for (auto& name : e.strings_or_empty("replica_groups")) {
            it.pools.emplace_back(std::move(name));
        }
        if (it.pools.empty()) {
            e.add_fault("replica_groups", "must name at least one replica group");
        }
        out.routes.push_back(std::move(it));
    });
}

std::vector<priority_class> read_priorities(json_reader& in)
{
    std::vector<priority_class> out;
    for (const auto& name : in.strings_or_empty("priorities")) {
        const auto it = parse_priority(name);
        if (!it) {
            in.add_fault("priorities", "\"" + name + "\" is not alarm, normal or bulk");
            continue;
        }
        out.push_back(*it);
    }
    if (out.empty()) {
        out.push_back(priority_class::normal);
    }
    return out;
}

void read_accounts_and_objectives(json_reader& in, configuration& out)
{
    in.for_each_object("client_accounts", [&](json_reader& e) {
        account_spec it;
        it.id = client_account_id{e.string("id")};
        it.key_sha256 = e.string("key_sha256");
        if (!it.key_sha256.empty() && !is_sha256_hex(it.key_sha256)) {
            e.add_fault("key_sha256", "must be 64 lower-case hex digits: the SHA-256 of the key");
        }
        it.weight = static_cast<int>(e.integer_or("weight", 1, {1, 1000}));
        it.home_failure_domain = failure_domain_id{e.string("home_failure_domain")};
        it.priorities = read_priorities(e);
        it.max_in_flight = static_cast<int>(e.integer_or("max_in_flight", 1000, {1, 1000000}));
        it.requests_per_minute =
            static_cast<int>(e.integer_or("requests_per_minute", 0, {0, 100000000}));
        out.accounts.push_back(std::move(it));
    });
    in.visit_object("objectives", [&](json_reader& e) {
        out.objectives.group_downtime = e.number_or("group_downtime", 1, 0, 1e6);
        out.objectives.stranded_accelerators = e.number_or("stranded_accelerators", 1, 0, 1e6);
    });
}

/// Checks that every reference names a declared object, and that ids and all other values that
/// identify an object are unique: addresses, nodes of runners, path prefixes and key digests.
class reference_checker {
public:
    reference_checker(const configuration& config, faults& out) : config_{config}, out_{out} {}

    void run()
    {
        check_uniqueness();
        check_topology();
        check_pools_and_routes();
        check_services();
        check_accounts();
    }

private:
    template <class T, class Projection>
    void require_unique(const char* list, const std::vector<T>& all, Projection projection)
    {
        std::set<std::string> seen;
        for (std::size_t n = 0; n < all.size(); ++n) {
            const auto name = projection(all[n]);
            if (!name.empty() && !seen.insert(name).second) {
                add_fault(list, n, "id", "\"" + name + "\" stands twice");
            }
        }
    }

    void add_fault(const char* list, std::size_t n, const char* key, std::string text)
    {
        out_.push_back({fmt::format("/{}/{}/{}", list, n, key), std::move(text)});
    }

    void check_uniqueness()
    {
        const auto by_id = [](const auto& e) { return e.id.str(); };
        require_unique("failure_domains", config_.failure_domains,
                       [](const auto& e) { return e.str(); });
        require_unique("fabric_domains", config_.fabric_domains, by_id);
        require_unique("nodes", config_.nodes, by_id);
        require_unique("runners", config_.runners, by_id);
        require_unique("runners", config_.runners, [](const auto& e) { return e.address.str(); });
        require_unique("runners", config_.runners, [](const auto& e) { return e.node.str(); });
        require_unique("models", config_.models, by_id);
        require_unique("replica_groups", config_.pools, by_id);
        require_unique("services", config_.services, by_id);
        require_unique("services", config_.services, [](const auto& e) { return e.path_prefix; });
        require_unique("client_accounts", config_.accounts, by_id);
        require_unique("client_accounts", config_.accounts,
                       [](const auto& e) { return e.key_sha256; });
    }

    void require_failure_domain(const char* list, std::size_t n, const char* key,
                                const failure_domain_id& id)
    {
        const auto& all = config_.failure_domains;
        if (!id.empty() && std::find(all.begin(), all.end(), id) == all.end()) {
            add_fault(list, n, key, "\"" + id.str() + "\" is not a declared failure domain");
        }
    }

    void check_topology()
    {
        for (std::size_t n = 0; n < config_.fabric_domains.size(); ++n) {
            require_failure_domain("fabric_domains", n, "failure_domain",
                                   config_.fabric_domains[n].failure_domain);
        }
        for (std::size_t n = 0; n < config_.nodes.size(); ++n) {
            if (const auto& id = config_.nodes[n].fabric_domain;
                !id.empty() && config_.find_fabric(id) == nullptr) {
                add_fault("nodes", n, "fabric_domain",
                          "\"" + id.str() + "\" is not a declared fabric domain");
            }
        }
        for (std::size_t n = 0; n < config_.runners.size(); ++n) {
            if (const auto& id = config_.runners[n].node;
                !id.empty() && config_.find_node(id) == nullptr) {
                add_fault("runners", n, "node", "\"" + id.str() + "\" is not a declared node");
            }
        }
    }

    void check_pools_and_routes()
    {
        for (std::size_t n = 0; n < config_.pools.size(); ++n) {
            const auto& pool = config_.pools[n];
            require_failure_domain("replica_groups", n, "failure_domain", pool.failure_domain);
            const auto it = std::find_if(config_.models.begin(), config_.models.end(),
                                         [&](const model_spec& e) { return e.id == pool.model; });
            if (it == config_.models.end()) {
                add_fault("replica_groups", n, "model",
                          "\"" + pool.model.str() + "\" is not a declared model");
                continue;
            }
            require_listed(n, "version", it->versions, pool.version);
            for (const auto& name : pool.adapters) {
                require_listed(n, "adapters", it->adapters, name);
            }
        }
        for (std::size_t n = 0; n < config_.routes.size(); ++n) {
            check_route(n, config_.routes[n]);
        }
    }

    void require_listed(std::size_t n, const char* key, const std::vector<std::string>& all,
                        const std::string& name)
    {
        if (!name.empty() && std::find(all.begin(), all.end(), name) == all.end()) {
            add_fault("replica_groups", n, key, "\"" + name + "\" is not declared for the model");
        }
    }

    void check_route(std::size_t n, const route_spec& route)
    {
        for (const auto& id : route.pools) {
            const auto* pool = config_.find_pool(id);
            if (pool == nullptr) {
                add_fault("routing_rules", n, "replica_groups",
                          "\"" + id.str() + "\" is not declared");
            }
            else if (pool->model != route.model) {
                add_fault("routing_rules", n, "replica_groups",
                          "\"" + id.str() + "\" serves model \"" + pool->model.str() + "\"");
            }
        }
        if (route.account && config_.find_account(*route.account) == nullptr) {
            add_fault("routing_rules", n, "account",
                      "\"" + route.account->str() + "\" is not declared");
        }
    }

    void check_services()
    {
        for (std::size_t n = 0; n < config_.services.size(); ++n) {
            for (const auto& it : config_.services[n].upstreams) {
                require_failure_domain("services", n, "upstreams", it.failure_domain);
            }
        }
    }

    void check_accounts()
    {
        for (std::size_t n = 0; n < config_.accounts.size(); ++n) {
            require_failure_domain("client_accounts", n, "home_failure_domain",
                                   config_.accounts[n].home_failure_domain);
        }
    }

    const configuration& config_;
    faults& out_;
};

} // namespace

std::optional<configuration> configuration::parse(std::string_view text, faults& out)
{
    const auto faults_before = out.size();
    const auto value = parse_json(text, out);
    if (!value) {
        return {};
    }
    configuration it;
    json_reader in{*value, "", out};
    it.based_on.value = static_cast<std::uint64_t>(in.integer("based_on", {}));
    it.change = change_id{in.string("change_id")};
    read_topology(in, it);
    read_models_and_pools(in, it);
    read_services_and_routes(in, it);
    read_accounts_and_objectives(in, it);
    in.finish();
    reference_checker{it, out}.run();
    if (out.size() != faults_before) {
        return {};
    }
    return it;
}

} // namespace cedarpoint
