/** Replays the trace of what one serving node decided on a virtual clock. */
package org.plantainshunt.replay;
