package secondreview;

import java.nio.file.Path;

/** Runs a case: exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. Stateless. */
final class Case {
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int NOT_RUN = 2;

    private Case() {}

    /** The events of a case. */
    interface Body {
        /** Plays the case on a new deployment and returns its exit status. */
        int play(Deployment deployment, boolean trouble) throws Exception;
    }

    /** Returns whether the disruption is played: unless the variable TROUBLE is 0. */
    static boolean trouble() {
        return !"0".equals(System.getenv("TROUBLE"));
    }

    static void run(String[] arguments, String grace, int machines, Body body) {
        int status = NOT_RUN;
        try (Recorder record = new Recorder(Path.of(arguments[0]))) {
            record.line("TROUBLE=%s", trouble() ? 1 : 0);
            try (Deployment deployment = new Deployment(record, grace, machines)) {
                // Ends the nodes also if this process is told to stop.
                Runtime.getRuntime().addShutdownHook(new Thread(deployment::endProcesses));
                status = body.play(deployment, trouble());
            } catch (Exception failed) {
                record.say("the case could not run: %s", failed);
                failed.printStackTrace();
            }
            record.say("%s", status == BROKEN ? "rule broken" : status == HELD ? "rule held" : "not run");
        } catch (Exception failed) {
            failed.printStackTrace();
        }
        System.exit(status);
    }
}
