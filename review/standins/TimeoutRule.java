/**
 * CONFIG: eight or more requests, and over a quarter of those that last longer than their route's
 * TimeoutMs, have no final answer half a second after it.
 */
final class TimeoutRule {
    private static final long PLAIN_TIMEOUT_MILLIS = 800;
    private static final long SLACK_MILLIS = 500;
    private static final int FEWEST = 8;

    private TimeoutRule() {}

    /** Judges the requests to the routes with the plain time-out. */
    static boolean holds(Record record) {
        int sent = 0;
        int over = 0;
        int unanswered = 0;
        for (Record.Call call : record.calls()) {
            if (call.route.equals("draft")) {
                continue;
            }
            sent++;
            long took =
                    call.answeredMillis < 0 ? Long.MAX_VALUE : call.answeredMillis - call.sentMillis;
            over += took > PLAIN_TIMEOUT_MILLIS ? 1 : 0;
            unanswered += took > PLAIN_TIMEOUT_MILLIS + SLACK_MILLIS ? 1 : 0;
        }
        String result =
                sent + " plain requests, " + over + " longer than TimeoutMs, " + unanswered
                        + " of them without a final answer 0.5 s later";
        record.line(result);
        System.out.println(result);
        return unanswered < FEWEST || unanswered * 4 <= over;
    }
}
