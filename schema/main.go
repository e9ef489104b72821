package main

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sort"

	_ "buf.build/gen/go/bufbuild/protovalidate/protocolbuffers/go/buf/validate"
	"github.com/bufbuild/protocompile"
	"github.com/bufbuild/protocompile/protoutil"
	"github.com/gravitational/trace"
	"github.com/jessevdk/go-flags"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/reflect/protoregistry"
	_ "google.golang.org/protobuf/types/known/durationpb"
	"google.golang.org/protobuf/types/pluginpb"
)

// plugins are the code generators, which run as plugins of a Protocol Buffers compiler.
var plugins = []string{"protoc-gen-go", "protoc-gen-twirp"}

type options struct {
	Root string `long:"root" description:"folder of the .proto files" default:"."`
	Out  string `long:"out" description:"folder of the shared module" default:"../fleet"`
	Bin  string `long:"bin" description:"folder of the plugins" default:"../bin"`
}

func main() {
	var opts options
	if _, err := flags.Parse(&opts); err != nil {
		os.Exit(2)
	}
	if err := generate(opts); err != nil {
		fmt.Fprintln(os.Stderr, trace.UserMessage(err))
		os.Exit(1)
	}
}

func generate(opts options) error {
	request, err := compile(opts.Root)
	if err != nil {
		return trace.Wrap(err)
	}
	for _, plugin := range plugins {
		if err := runPlugin(filepath.Join(opts.Bin, plugin), request, opts.Out); err != nil {
			return trace.Wrap(err, "%s", plugin)
		}
	}
	return nil
}

// compile parses the schema. Imports that are not in root are resolved from descriptors in the linked Go packages.
func compile(root string) (*pluginpb.CodeGeneratorRequest, error) {
	names, err := sourceFiles(root)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	compiler := protocompile.Compiler{
		Resolver: protocompile.CompositeResolver{
			&protocompile.SourceResolver{ImportPaths: []string{root}},
			protocompile.ResolverFunc(findRegistered),
		},
		SourceInfoMode: protocompile.SourceInfoStandard,
	}
	files, err := compiler.Compile(context.Background(), names...)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	request := &pluginpb.CodeGeneratorRequest{
		FileToGenerate: names,
		Parameter:      proto.String("module=tamarackshunt.dev/fleet"),
	}
	seen := map[string]bool{}
	for _, file := range files {
		addFile(request, file, seen)
	}
	return request, nil
}

func sourceFiles(root string) ([]string, error) {
	paths, err := filepath.Glob(filepath.Join(root, "fleet", "*.proto"))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	names := make([]string, 0, len(paths))
	for _, path := range paths {
		names = append(names, filepath.ToSlash(filepath.Join("fleet", filepath.Base(path))))
	}
	sort.Strings(names)
	return names, nil
}

func findRegistered(name string) (protocompile.SearchResult, error) {
	file, err := protoregistry.GlobalFiles.FindFileByPath(name)
	if err != nil {
		return protocompile.SearchResult{}, trace.Wrap(err)
	}
	return protocompile.SearchResult{Desc: file}, nil
}

// addFile appends a file after its imports, which is the order that plugins require.
func addFile(request *pluginpb.CodeGeneratorRequest, file protoreflect.FileDescriptor, seen map[string]bool) {
	if seen[file.Path()] {
		return
	}
	seen[file.Path()] = true
	imports := file.Imports()
	for i := range imports.Len() {
		addFile(request, imports.Get(i).FileDescriptor, seen)
	}
	request.ProtoFile = append(request.ProtoFile, protoutil.ProtoFromFileDescriptor(file))
}

func runPlugin(plugin string, request *pluginpb.CodeGeneratorRequest, out string) error {
	input, err := proto.Marshal(request)
	if err != nil {
		return trace.Wrap(err)
	}
	command := exec.Command(plugin)
	command.Stdin = bytes.NewReader(input)
	command.Stderr = os.Stderr
	output, err := command.Output()
	if err != nil {
		return trace.Wrap(err)
	}
	var response pluginpb.CodeGeneratorResponse
	if err := proto.Unmarshal(output, &response); err != nil {
		return trace.Wrap(err)
	}
	if response.GetError() != "" {
		return trace.BadParameter("%s", response.GetError())
	}
	return writeFiles(&response, out)
}

func writeFiles(response *pluginpb.CodeGeneratorResponse, out string) error {
	for _, file := range response.GetFile() {
		path := filepath.Join(out, file.GetName())
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			return trace.ConvertSystemError(err)
		}
		if err := os.WriteFile(path, []byte(file.GetContent()), 0o644); err != nil {
			return trace.ConvertSystemError(err)
		}
	}
	return nil
}
