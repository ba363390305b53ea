package dev.foxtailshed.daemon.internal.operator;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import dev.foxtailshed.daemon.hosting.StoreFailure;
import dev.foxtailshed.daemon.internal.http.Endpoint;
import dev.foxtailshed.daemon.internal.http.ErrorBody;
import dev.foxtailshed.daemon.internal.platform.ObjectListing;
import dev.foxtailshed.daemon.internal.platform.StoredObject;
import dev.foxtailshed.daemon.internal.record.RecordStore;
import dev.foxtailshed.kernel.ErrorCode;
import dev.foxtailshed.kernel.RequestFailure;
import dev.foxtailshed.wire.SharedKey;
import io.vavr.control.Either;
import java.nio.ByteBuffer;
import java.util.Optional;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** Serves the stored objects of the record to auditors, unchanged. Thread-safe. */
public final class RecordsEndpoint implements Endpoint {

    private static final String LIST_PATH = "/operator/v1/records";
    private static final String OBJECT_PATH = "/operator/v1/record";
    private static final String BEARER = "Bearer ";

    private final SharedKey key;
    private final RecordStore store;

    /**
     * Creates the endpoint.
     *
     * @param key the key that requests must present
     * @param store reads the record
     */
    public RecordsEndpoint(SharedKey key, RecordStore store) {
        this.key = key;
        this.store = store;
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        String path = Request.getPathInContext(request);
        boolean pathMatches = path.equals(LIST_PATH) || path.equals(OBJECT_PATH);
        if (!pathMatches || !request.getMethod().equals("GET") || !isAuthorized(request)) {
            // OperatorEndpoint refuses requests without the key.
            return false;
        }
        if (path.equals(LIST_PATH)) {
            String after = parameter(request, "after");
            store.list(after).thenAccept(list -> writeList(list, response, callback));
        } else {
            String name = parameter(request, "name");
            store.get(name).thenAccept(object -> writeObject(object, response, callback));
        }
        return true;
    }

    private boolean isAuthorized(Request request) {
        String header = request.getHeaders().get(HttpHeader.AUTHORIZATION);
        return header != null
                && header.startsWith(BEARER)
                && key.matches(header.substring(BEARER.length()));
    }

    private static String parameter(Request request, String name) {
        String value = Request.extractQueryParameters(request).getValue(name);
        return value == null ? "" : value;
    }

    private static void writeList(
            Either<StoreFailure, ObjectListing> list, Response response, Callback callback) {
        if (list.isLeft()) {
            ErrorBody.write(response, storeUnavailable(list.getLeft()), callback);
            return;
        }
        JsonArray objects = new JsonArray();
        for (ObjectListing.Entry entry : list.get().objects()) {
            JsonObject json = new JsonObject();
            json.addProperty("name", entry.name());
            json.addProperty("sizeBytes", entry.sizeBytes());
            objects.add(json);
        }
        JsonObject body = new JsonObject();
        body.add("objects", objects);
        body.addProperty("more", list.get().more());
        ErrorBody.writeJson(response, body, callback);
    }

    private static void writeObject(
            Either<StoreFailure, Optional<StoredObject>> object,
            Response response,
            Callback callback) {
        if (object.isLeft()) {
            ErrorBody.write(response, storeUnavailable(object.getLeft()), callback);
        } else if (object.get().isEmpty()) {
            RequestFailure failure =
                    RequestFailure.notRun(ErrorCode.NOT_FOUND, "there is no such record");
            ErrorBody.write(response, failure, callback);
        } else {
            response.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/json");
            response.write(true, ByteBuffer.wrap(object.get().get().body()), callback);
        }
    }

    private static RequestFailure storeUnavailable(StoreFailure failure) {
        return RequestFailure.notRun(ErrorCode.STORE_UNAVAILABLE, failure.message());
    }
}
