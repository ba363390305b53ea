package dev.foxtailshed.kernel.manifest.internal;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import dev.foxtailshed.kernel.manifest.BackendServer;
import dev.foxtailshed.kernel.manifest.Deployment;
import dev.foxtailshed.kernel.manifest.Manifest;
import dev.foxtailshed.kernel.manifest.Policy;
import dev.foxtailshed.kernel.manifest.Pool;
import dev.foxtailshed.kernel.manifest.PoolKind;
import dev.foxtailshed.kernel.manifest.RequestClass;
import dev.foxtailshed.kernel.manifest.Route;
import dev.foxtailshed.kernel.manifest.RouterKind;
import dev.foxtailshed.kernel.manifest.Zone;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.regex.Pattern;

/**
 * Converts the JSON tree of a document to a manifest and validates it.
 *
 * <p>Not reusable: create one instance for each document. Not thread-safe.
 */
public final class ManifestRules {

    private static final int MAXIMUM_PRIORITY = 9;
    private static final long MAXIMUM_TARGET_MILLIS = 3_600_000;
    private static final long MAXIMUM_TIMEOUT_MILLIS = 86_400_000;
    private static final long MAXIMUM_ZONE_PENALTY_MILLIS = 60_000;
    private static final int MAXIMUM_REQUEST_SLOTS = 100_000;
    private static final int MAXIMUM_KV_PIECES = 10_000_000;
    private static final int MAXIMUM_TOKENS_PER_PIECE = 65_536;
    private static final long MAXIMUM_KV_BYTES_PER_TOKEN = 100_000_000;
    private static final long MAXIMUM_LINK_BYTES_PER_SECOND = 1_000_000_000_000L;
    private static final long MAXIMUM_PREFILL_TOKENS_PER_SECOND = 1_000_000_000;
    private static final int MAXIMUM_PERCENT = 100;
    private static final int MAXIMUM_QUEUE_LIMIT = 1_000_000;
    private static final int MAXIMUM_ATTEMPTS = 10;
    private static final int MAXIMUM_TOKENS = 10_000_000;

    private static final Pattern MODEL = Pattern.compile("[A-Za-z0-9._:/@-]{1,200}");
    private static final Pattern PATH_PREFIX =
            Pattern.compile("(/|(/[A-Za-z0-9_~!$&'()*+,=:@-][A-Za-z0-9._~!$&'()*+,=:@-]*)+/?)");
    private static final List<String> METHODS =
            List.of("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS");
    private static final String MODEL_KIND = "model";
    private static final String PLAIN_KIND = "plain";

    private final Problems problems;
    private final Set<String> zoneNames = new HashSet<>();
    private final Set<String> classNames = new HashSet<>();
    private final Set<String> policyNames = new HashSet<>();
    private final Map<String, Optional<PoolKind>> poolKinds = new HashMap<>();
    private final Map<String, Long> poolCapacityTokens = new HashMap<>();
    private final Set<String> poolsWithServers = new HashSet<>();

    /**
     * Creates an instance for one document.
     *
     * @param problems the collection to which problems are added
     */
    public ManifestRules(Problems problems) {
        this.problems = problems;
    }

    /**
     * Reads a document.
     *
     * @param root the tree of the document
     * @return the manifest, which is valid only if no problem was reported
     */
    public Manifest read(JsonElement root) {
        if (!root.isJsonObject()) {
            problems.add("$", "an object", JsonPaths.shorten(root.toString()));
        }
        JsonObject object = root.isJsonObject() ? root.getAsJsonObject() : new JsonObject();
        Fields fields = new Fields(object, "$", problems);
        String name = fields.name("name");
        String region = fields.name("region");
        List<Zone> zones = fields.list("zones", this::zone, Zone::name);
        List<RequestClass> classes = fields.list("classes", this::requestClass, RequestClass::name);
        List<Pool> pools = fields.list("pools", this::pool, Pool::name);
        List<BackendServer> servers = fields.list("servers", this::server, BackendServer::name);
        List<Policy> policies = fields.list("policies", this::policy, Policy::name);
        List<Deployment> deployments =
                fields.list("deployments", this::deployment, Deployment::name);
        fields.reportUnknown();
        return new Manifest(name, region, zones, classes, pools, servers, policies, deployments);
    }

    private Zone zone(Fields fields) {
        Zone zone = new Zone(fields.name("name"));
        zoneNames.add(zone.name());
        return zone;
    }

    private RequestClass requestClass(Fields fields) {
        RequestClass requestClass =
                new RequestClass(
                        fields.name("name"),
                        (int) fields.integer("priority", 0, MAXIMUM_PRIORITY),
                        fields.integer("timeToFirstTokenMillis", 1, MAXIMUM_TARGET_MILLIS),
                        fields.integer("timeBetweenTokensMillis", 0, MAXIMUM_TARGET_MILLIS),
                        fields.integer("timeoutMillis", 1, MAXIMUM_TIMEOUT_MILLIS),
                        fields.bool("patient"));
        classNames.add(requestClass.name());
        return requestClass;
    }

    private Pool pool(Fields fields) {
        String name = fields.name("name");
        Optional<PoolKind> kind =
                fields.choice("kind", List.of(PoolKind.values()), PoolKind::label);
        poolKinds.putIfAbsent(name, kind);
        int requestSlots = (int) fields.integer("requestSlots", 1, MAXIMUM_REQUEST_SLOTS);
        if (kind.isEmpty()) {
            fields.markAllKnown();
        }
        if (kind.isEmpty() || kind.get() == PoolKind.PLAIN) {
            return new Pool(name, PoolKind.PLAIN, requestSlots, 0, 0, 0, 0, 0);
        }
        int problemsBefore = problems.list().size();
        boolean isPrefill = kind.get() == PoolKind.PREFILL;
        Pool pool =
                new Pool(
                        name,
                        kind.get(),
                        requestSlots,
                        (int) fields.integer("kvPieces", 1, MAXIMUM_KV_PIECES),
                        (int) fields.integer("tokensPerPiece", 1, MAXIMUM_TOKENS_PER_PIECE),
                        fields.integer("kvBytesPerToken", 1, MAXIMUM_KV_BYTES_PER_TOKEN),
                        fields.integer("linkBytesPerSecond", 1, MAXIMUM_LINK_BYTES_PER_SECOND),
                        isPrefill
                                ? fields.integer(
                                        "prefillTokensPerSecond",
                                        1,
                                        MAXIMUM_PREFILL_TOKENS_PER_SECOND)
                                : 0);
        if (problems.list().size() == problemsBefore) {
            poolCapacityTokens.putIfAbsent(name, pool.capacityTokens());
        }
        return pool;
    }

    private BackendServer server(Fields fields) {
        BackendServer server =
                new BackendServer(
                        fields.name("name"),
                        fields.reference("pool", "pool", poolKinds.keySet()),
                        fields.reference("zone", "zone", zoneNames),
                        fields.bool("checksFencing"));
        poolsWithServers.add(server.pool());
        return server;
    }

    private Policy policy(Fields fields) {
        Policy policy =
                new Policy(
                        fields.name("name"),
                        fields.choice("router", List.of(RouterKind.values()), RouterKind::label)
                                .orElse(RouterKind.RESERVE_FIRST),
                        (int) fields.integer("retryBudgetPercent", 0, MAXIMUM_PERCENT),
                        (int) fields.integer("queueLimit", 0, MAXIMUM_QUEUE_LIMIT),
                        (int) fields.integer("maximumAttempts", 1, MAXIMUM_ATTEMPTS),
                        fields.integer("preferZonePenaltyMillis", 0, MAXIMUM_ZONE_PENALTY_MILLIS));
        policyNames.add(policy.name());
        return policy;
    }

    private Deployment deployment(Fields fields) {
        String name = fields.name("name");
        Optional<String> kind =
                fields.choice("kind", List.of(MODEL_KIND, PLAIN_KIND), Function.identity());
        String policy = fields.reference("policy", "policy", policyNames);
        String defaultClass = fields.reference("defaultClass", "class", classNames);
        if (kind.isEmpty()) {
            fields.markAllKnown();
            return new Deployment.Plain(name, policy, defaultClass, "", List.of());
        }
        if (kind.get().equals(PLAIN_KIND)) {
            String pool = poolOfKind(fields, "pool", PoolKind.PLAIN);
            List<Route> routes = fields.list("routes", this::route, ManifestRules::routeKey);
            return new Deployment.Plain(name, policy, defaultClass, pool, routes);
        }
        return model(fields, name, policy, defaultClass);
    }

    private Deployment.Model model(Fields fields, String name, String policy, String defaultClass) {
        Deployment.Model model =
                new Deployment.Model(
                        name,
                        policy,
                        defaultClass,
                        fields.text(
                                "model",
                                MODEL,
                                "a model name of 1 to 200 letters, digits and ._:/@-"),
                        poolOfKind(fields, "prefillPool", PoolKind.PREFILL),
                        poolOfKind(fields, "decodePool", PoolKind.DECODE),
                        (int) fields.integer("maximumPromptTokens", 1, MAXIMUM_TOKENS),
                        (int) fields.integer("maximumOutputTokens", 1, MAXIMUM_TOKENS));
        checkCapacity(fields, model);
        return model;
    }

    /** Refuses limits above the servers' capacity: such requests could never be placed. */
    private void checkCapacity(Fields fields, Deployment.Model model) {
        long promptTokens = model.maximumPromptTokens();
        long prefillTokens = capacityOf(model.prefillPool());
        if (promptTokens > prefillTokens) {
            fields.reportInvalid(
                    "maximumPromptTokens",
                    "at most the " + prefillTokens + " tokens that the prefill pool holds");
        }
        long decodeTokens = capacityOf(model.decodePool());
        if (promptTokens + model.maximumOutputTokens() > decodeTokens) {
            fields.reportInvalid(
                    "maximumOutputTokens",
                    "with maximumPromptTokens at most the "
                            + decodeTokens
                            + " tokens that the decode pool holds");
        }
    }

    /** Returns the capacity of a pool in tokens, unlimited for an invalid pool. */
    private long capacityOf(String pool) {
        return poolCapacityTokens.getOrDefault(pool, Long.MAX_VALUE);
    }

    private String poolOfKind(Fields fields, String field, PoolKind kind) {
        String pool = fields.reference(field, "pool", poolKinds.keySet());
        if (pool.isEmpty() || !poolKinds.containsKey(pool)) {
            return pool;
        }
        if (poolKinds.get(pool).filter(actual -> actual != kind).isPresent()) {
            fields.reportInvalid(field, "a pool of kind " + kind.label());
        } else if (!poolsWithServers.contains(pool)) {
            fields.reportInvalid(field, "a pool with at least one server");
        }
        return pool;
    }

    private Route route(Fields fields) {
        return new Route(
                fields.choice("method", METHODS, Function.identity()).orElse(""),
                fields.text("pathPrefix", PATH_PREFIX, "a path that begins with a slash"),
                fields.reference("class", "class", classNames),
                fields.bool("repeatable"));
    }

    private static String routeKey(Route route) {
        if (route.method().isEmpty() || route.pathPrefix().isEmpty()) {
            return "";
        }
        return route.method() + " " + route.pathPrefix();
    }
}
