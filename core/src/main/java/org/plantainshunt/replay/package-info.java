/** Replays the recorded admission decisions of a serving node on a virtual clock. */
package org.plantainshunt.replay;
