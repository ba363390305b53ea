import java.nio.file.Path;

/** Runs a case and ends with the exit code of its script: 0 held, 1 broken, 2 could not run. */
final class CaseMain {

    /** Below the 120 seconds that a script may take. */
    private static final long LIMIT_MILLIS = 110_000;

    /** Whether the disruption takes place; the environment variable TROUBLE=0 leaves it out. */
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

    private CaseMain() {}

    /** A case; returns the exit code. */
    interface Case {
        int run(CaseRecord record, Path directory) throws Exception;
    }

    static void run(String[] arguments, Case tested) {
        Http.start("limit", () -> {
            sleep(LIMIT_MILLIS);
            System.out.println("could not run: not finished within the time");
            System.exit(2);
        });
        int code;
        try {
            code = tested.run(new CaseRecord(Path.of(arguments[0])), Path.of(arguments[1]));
        } catch (Throwable e) {
            System.out.println("could not run: " + e);
            code = 2;
        }
        System.exit(code);
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(Math.max(0, millis));
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }
}
