/** The operator's configuration of the small deployment that the cases use. */
final class Config {
    private Config() {}

    /** Figures as on the sheet of Ligustro: routes with their time-outs and response-time goals. */
    static String main(long version) {
        return main(version, 0, "");
    }

    /**
     * Returns a configuration with further routes to the plain service.
     *
     * @param count how many routes more
     * @param newest the name of one more route
     */
    static String main(long version, int count, String newest) {
        StringBuilder more = new StringBuilder();
        for (int i = 0; i < count; i++) {
            more.append(',').append(route("branch-" + i, "safe", "app", 800, 150, 2, ""));
        }
        if (!newest.isEmpty()) {
            more.append(',').append(route(newest, "safe", "app", 800, 150, 2, ""));
        }
        return "{\"Version\":" + version + ",\"Routes\":["
                + route("order", "unsafe", "app", 800, 150, 1, "") + ","
                + route("status", "safe", "app", 800, 150, 2, "") + ","
                + route("draft", "streaming", "llm", 14_000, 900, 1,
                        ",\"Sticky\":true,\"TargetGapMs\":300,\"Resumable\":false")
                + "," + route("quote", "streaming", "llm", 14_000, 900, 2,
                        ",\"Sticky\":true,\"TargetGapMs\":300,\"Resumable\":true")
                + more
                + "],\"Services\":[{\"Name\":\"app\",\"MaxConnections\":96,"
                + "\"HealthCheckPath\":\"/health\"},{\"Name\":\"llm\",\"MaxConnections\":290,"
                + "\"Engine\":{\"Slots\":48,\"KvCacheTokens\":42121,\"HandleTtlS\":0.5,"
                + "\"SwitchS\":6.0,\"HoldMs\":2000.0}}],\"Limits\":{\"MaxHeaderBytes\":16384,"
                + "\"MaxBodyBytes\":65536,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}}";
    }

    private static String route(
            String name,
            String kind,
            String service,
            long timeoutMillis,
            long targetMillis,
            int attempts,
            String more) {
        return "{\"Name\":\"" + name + "\",\"Host\":\"shop.example\",\"PathPrefix\":\"/" + name
                + "/\",\"Kind\":\"" + kind + "\",\"TimeoutMs\":" + timeoutMillis
                + ",\"TargetLatencyMs\":" + targetMillis + ",\"Priority\":1,\"Service\":\""
                + service + "\",\"Attempts\":" + attempts + more + "}";
    }
}
