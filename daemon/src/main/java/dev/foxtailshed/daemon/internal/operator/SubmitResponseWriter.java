package dev.foxtailshed.daemon.internal.operator;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import dev.foxtailshed.daemon.internal.http.ErrorBody;
import dev.foxtailshed.daemon.internal.manifest.SubmitOutcome;
import dev.foxtailshed.kernel.ErrorCode;
import dev.foxtailshed.kernel.RequestFailure;
import dev.foxtailshed.kernel.Verdict;
import dev.foxtailshed.kernel.manifest.ManifestProblem;
import java.util.List;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** Writes the response to a submitted manifest. */
final class SubmitResponseWriter {

    private SubmitResponseWriter() {}

    static void write(
            Response response, SubmitOutcome outcome, String submissionId, Callback callback) {
        if (outcome instanceof SubmitOutcome.Accepted accepted) {
            JsonObject body = new JsonObject();
            body.addProperty("version", accepted.version());
            body.addProperty("submissionId", submissionId);
            ErrorBody.writeJson(response, body, callback);
        } else if (outcome instanceof SubmitOutcome.Conflict conflict) {
            RequestFailure failure =
                    RequestFailure.notRun(
                            ErrorCode.VERSION_CONFLICT,
                            "version " + conflict.version() + " is in force");
            JsonObject body = ErrorBody.envelope(failure);
            body.addProperty("version", conflict.version());
            ErrorBody.write(response, failure, body, callback);
        } else if (outcome instanceof SubmitOutcome.Invalid invalid) {
            RequestFailure failure =
                    RequestFailure.notRun(ErrorCode.INVALID_REQUEST, "the manifest is invalid");
            JsonObject body = ErrorBody.envelope(failure);
            body.add("problems", toJson(invalid.problems()));
            ErrorBody.write(response, failure, body, callback);
        } else if (outcome instanceof SubmitOutcome.NotApplied notApplied) {
            RequestFailure failure =
                    RequestFailure.notRun(ErrorCode.STORE_UNAVAILABLE, notApplied.message());
            ErrorBody.write(response, failure, callback);
        } else if (outcome instanceof SubmitOutcome.Unknown unknown) {
            RequestFailure failure =
                    RequestFailure.of(
                            Verdict.MAY_HAVE_RUN, ErrorCode.OUTCOME_UNKNOWN, unknown.message());
            ErrorBody.write(response, failure, callback);
        }
    }

    private static JsonArray toJson(List<ManifestProblem> problems) {
        JsonArray array = new JsonArray();
        for (ManifestProblem problem : problems) {
            JsonObject json = new JsonObject();
            json.addProperty("path", problem.path());
            json.addProperty("expected", problem.expected());
            json.addProperty("found", problem.found());
            array.add(json);
        }
        return array;
    }
}
