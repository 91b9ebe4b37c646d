package simulator_test

import (
	"bytes"
	"encoding/hex"
	"fmt"
	"io"

	"crankhold/internal/simulator"
	"crankhold/policy"
)

// A program reads batches until the input ends, and responds to each with the actions of its records.
func Example() {
	const batch = "0000000c" + "0000000b" + "00000001" + "40c06e2000000000" + // batch 12, 11 bytes, 1 record, 8412.25 ms
		"07" + "0003" + "000000000000004d" // a timer of instance 3 fired, with token 77
	frame, err := hex.DecodeString(batch)
	if err != nil {
		fmt.Println(err)
		return
	}
	input := bytes.NewReader(frame)
	var output bytes.Buffer
	for {
		batch, err := simulator.ReadBatch(input)
		if err == io.EOF {
			break
		}
		if err != nil {
			fmt.Println(err)
			return
		}
		var reply simulator.Reply
		for _, record := range batch.Records {
			fmt.Printf("at %v, instance %d: %+v\n", batch.Now, record.Instance, record.Event)
			reply.Add(record.Instance, []policy.Action{policy.FailRequest{Request: 7}})
		}
		if err := reply.Flush(&output, batch.Sequence); err != nil {
			fmt.Println(err)
			return
		}
	}
	fmt.Printf("reply: %x\n", output.Bytes())
	// Output:
	// at 8.41225s, instance 3: {Token:77}
	// reply: 0000000c0000000743000300000007
}
