package org.plantainshunt.call;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.plantainshunt.protocol.Header;
import org.plantainshunt.result.ResultCode;

import static org.junit.jupiter.api.Assertions.assertEquals;

class MalformedAnswerTest {
    /** Guards against an answer that no caller can read, whichever client of the backend server has read it. */
    @ParameterizedTest
    @CsvSource({"0,Name,v", "99,Name,v", "101,Name,v", "600,Name,v", "200,Na me,v", "200,'',v", "200,Name,'v\r\nA: b'"})
    void answerThatIsNoneIsNotPassedOn(int status, String name, String value) throws Exception {
        FakeFleet template = new FakeFleet(1);
        FakeFleet fleet = new FakeFleet(1, template.document, template.vmList(), vm -> new FakeBackendServer(vm) {
            @Override
            public void send(Handover request, Listener listener) {
                listener.answered(status, List.of(new Header(name, value)), new byte[0]);
            }
        });
        List<ResultCode> codes = new ArrayList<>();
        fleet.vms.get("front-1").entry.call(fleet.lookup("w"), reply -> codes.add(reply.code()));
        fleet.runUntil(2_000 * FakeFleet.MILLISECOND);
        assertEquals(List.of(ResultCode.ANSWER_CUT), codes);
    }
}
