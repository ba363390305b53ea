import com.google.gson.JsonElement;
import com.google.gson.JsonParser;

/** Configurations as an operator writes them into the store. */
final class Configs {

    private Configs() {}

    static String route(String name, String host, String prefix, String kind, String service, String more) {
        return "{\"Name\":\"" + name + "\",\"Host\":\"" + host + "\",\"PathPrefix\":\"" + prefix
                + "\",\"Kind\":\"" + kind + "\",\"TargetLatencyMs\":150,\"Priority\":2,"
                + "\"Service\":\"" + service + "\"" + more + "}";
    }

    static JsonElement config(long version, String routes, String services) {
        return JsonParser.parseString(
                "{\"Version\":" + version + ",\"Routes\":[" + routes + "],\"Services\":["
                        + services + "],\"Limits\":{\"MaxHeaderBytes\":16384,"
                        + "\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,"
                        + "\"IdleTimeoutMs\":15000}}");
    }

    static String plainService(String name) {
        return "{\"Name\":\"" + name + "\",\"HealthCheckPath\":\"/health\",\"MaxConnections\":96,"
                + "\"Protocol\":\"h1\",\"Tls\":false}";
    }
}
